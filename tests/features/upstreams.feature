Feature: Upstream instances get work while they are known to be available

  Scenario: An instance that announces its shutdown gets no more work
    When a list shows i1 as leaving
    Then i1 gets no work from then on

  Scenario: An instance whose record was removed gets no more work
    When a list shows i1 no longer
    Then i1 gets no work from then on

  Scenario: Records that expired during a store outage are kept for a while
    # Leases expire in an outage; live instances are listed again two seconds
    # after the store is available. An instance that is missing for longer has
    # left.
    Given the store could not be read before the next list
    When lists at 1200 and 1600 show i1 no longer
    Then i1 still gets work
    And a list at 2700 that shows it no longer ends that

  Scenario Outline: An instance leaves soon after a store outage
    # A gateway had been disconnected from the store. Its list was complete
    # again when an instance left a second later; the instance got requests for
    # 2.3 s more, since any record that went missing soon after an outage was
    # taken for an expired one, for 1.4 s from then and up to the next list.
    Given the store could not be read before the next list
    When lists come every 600 from 1200 on and i1 has left at <left>
    Then i1 gets no work later than 2000 after that

    Examples:
      | left |
      | 1300 |
      | 1900 |
      | 2500 |

  Scenario: Every other list is lost while an instance is gone
    # Each lost list is a short outage; an instance that has left must not be
    # kept for as long as such outages continue.
    Given the store could not be read before the next list
    When each list from 1200 to 3000 shows i1 no longer and is followed by a loss
    Then i1 gets no work from then on

  Scenario: Requests that share a prompt go to the same instance
    # An engine caches prompts that it has read; reading a prompt again delays
    # every request that runs beside it.
    When 60 requests of 6 prompts find idle instances
    Then each prompt is read by one instance only

  Scenario: A popular prompt is distributed before its instance is overloaded
    # One prompt gets most of the traffic. Its instance alone would queue
    # requests while the others are idle.
    When 40 requests of 1 prompt run at once on 4 instances of 64 slots
    Then no instance has more than 20 of them

  Scenario: An instance that fails is avoided, and tried again later
    When i0 fails three times in a row
    Then it gets nothing for 2 seconds and is used again after that

  Scenario: When every instance is suspect, one of them is still chosen
    When all instances fail
    Then one of them is still chosen

  Scenario Outline: The load of one instance cannot be computed <affinity>
    # Guards against figures of one instance that fail the requests of its pool.
    Given three idle instances, one of them with more slots than a float holds
    When 30 requests are sent one after the other, <affinity>
    Then each goes to one of the two other instances, and the log names the one

    Examples:
      | affinity            |
      | with shared prompts |
      | without prompts     |

  Scenario: The load of no instance can be computed
    # Guards against a pool that refuses all requests for want of a figure.
    Given only an instance with more slots than a float holds
    When 1 requests are sent one after the other, without prompts
    Then each goes to that instance

  @fixture.gateway
  Scenario: What engines report makes the choice among them fail
    # Guards against reports of one engine that fail the requests of its pool.
    When the choice among engines fails for 5 requests to /safe/answer
    Then all of them are answered by instances

  Scenario: The longest prefix wins, whatever routes there are
    Then for any routes the match is the longest prefix that begins the path

  Scenario: An unreadable configuration changes nothing
    Then broken configurations give an error that names the place
