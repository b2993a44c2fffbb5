"""Every caller gets its own whole answer."""


def test_foreign_and_repeated_chunks_are_not_passed_on(fleet):
    """The caller sees its own chunks once, in order.

    The engine sends each chunk twice and one of another stream before it,
    as a proxy between the two that mixed up connections would. Only the next
    chunk of the caller's own stream is passed on.
    """
    engine = fleet.add_engine("engine-a1", decode_tps=400)
    host = fleet.add_host("host-a1", "a")
    fleet.wait_ready()
    fleet.configure()
    fleet.knobs(engine, scramble=True)
    answer = fleet.chat(host, "A letter", stream=True)
    numbers = [line for line in answer.data.split(b"\n") if line.startswith(b"id: ")]
    assert numbers == [b"id: %d" % index for index in range(11)]
    assert b"data: {}\n" not in answer.data
