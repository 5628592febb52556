Feature: The bodies of requests take no more memory than a gateway has

  Scenario: Bodies of any size come and go in any order
    # Guards against bodies that together take more than the budget, and against
    # bytes that stay reserved after their request.
    Then the reserved bytes of any requests stay within the budget and go back to 0

  @fixture.gateway
  Scenario: Upstreams read large bodies slowly
    # Guards against a gateway that holds every body until its upstream has read
    # it, exceeds its memory and is killed with all that it has passed on.
    Given a gateway with memory for 4000000 bytes of bodies
    When 12 callers post 900000 bytes that upstreams hold, in turn
    Then 4 requests are passed on and 8 are refused as not run, with a time to come back
    And a small request is served meanwhile
    And the refusals are logged and counted as memory_full
    When the upstreams answer
    Then the 4 requests are answered and 4 further ones with 900000 bytes are too

  @fixture.gateway
  Scenario: A body of unknown length outgrows the memory
    # Guards against bodies that are sent in chunks and pass by the budget.
    Given a gateway with memory for 4000000 bytes of bodies
    When 4 callers post 900000 bytes that upstreams hold, in turn
    And a caller posts 900000 bytes in chunks
    Then that request is refused as not run
    And 3600000 bytes are reserved

  @fixture.gateway
  Scenario: Callers leave while their bodies are held
    # Guards against memory that stays reserved for callers who have left.
    Given a gateway with memory for 4000000 bytes of bodies
    When 4 callers post 900000 bytes that upstreams hold, and leave
    Then 0 bytes are reserved

  @fixture.gateway
  Scenario: Callers announce large bodies and send nothing
    # Guards against callers that keep out the bodies of others at no cost.
    Given a gateway with memory for 4000000 bytes of bodies
    When 10 callers announce 900000 bytes and send 100
    Then a request with 900000 bytes is served meanwhile
