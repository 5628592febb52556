Feature: Calls for pieces are filled across requests

  Scenario: Pieces of several requests share one call
    # A call costs 200 ms beside 40 ms a piece: one call of four pieces takes
    # 360 ms, four calls of one piece 960 ms of the same instance.
    Given a pool of 1 instance with calls of 4 pieces
    When 4 requests submit 1 piece each
    Then one call carries all 4 pieces

  Scenario: The piece that is due first goes first
    Given a pool of 1 instance with calls of 1 piece
    When pieces due in 900, 300 and 600 ms wait
    Then they are called in the order 300, 600, 900

  Scenario: Late pieces go after pieces that can be in time
    # Under overload the oldest pieces have missed their objective. Serving them
    # first makes every later piece late as well: none is in time.
    Given a pool of 1 instance with calls of 1 piece
    When pieces due in -200, 300 and 600 ms wait
    Then they are called in the order 300, 600, -200

  Scenario: A more urgent request goes before one that is due a little earlier
    Given a pool of 1 instance with calls of 1 piece
    When a piece of priority 1 due in 300 ms and one of priority 0 due in 400 ms wait
    Then they are called in the order 400, 300

  Scenario: A stage that has begun is finished first
    # The results of partly finished stages occupy space. When every request
    # holds half a stage, no instance has space for another half, and all
    # requests wait while the instances are idle.
    Given a pool of 1 instance with calls of 2 pieces
    When a request of 3 pieces due in 900 ms has begun and others due earlier come
    Then its last piece is in the next call

  Scenario: An instance without space for results gets no further pieces
    # Results of 1.5 MB, space for 4 MB: the third piece would be worked on and
    # then returned for lack of space.
    Given a pool of 1 instance with calls of 4 pieces
    And space for 2 results at each instance
    When 4 requests submit 1 piece each
    Then one call carries 2 pieces and 2 wait
    And the others follow once the results are released

  Scenario: A piece waits for an instance near its consumer, but not for long
    # A result that is read in another failure domain costs traffic between the
    # domains.
    Given a pool of 2 instances in domains one and two with calls of 1 piece
    When a piece for domain two waits while its instance will be idle in 50 ms
    Then it is held with 900 ms of slack and called at once with 100 ms

  Scenario: Work that cannot start in time is refused on arrival
    # A burst of 2.5 times the pool's capacity: a caller that is refused at once
    # can retry, one that waits until its time limit cannot.
    Given a pool of 1 instance with calls of 1 piece
    When pieces due in 700 ms keep arriving
    Then the scheduler expects the pieces beyond the third to be late

  Scenario: Pieces of a disconnected caller are dropped
    Given a pool of 1 instance with calls of 1 piece
    When a piece waits whose caller has disconnected
    Then no call is made

  Scenario: Late work is abandoned only if nothing was spent on it
    Given a pool of 1 instance with calls of 1 piece
    When pieces that have missed their objective by a second wait
    Then the piece without work is abandoned and the piece with inputs is not

  Scenario: The accounting is right after any pieces, calls, releases, failures
    # Model check: no piece is in two calls at once, none is lost, no call is
    # larger than allowed, and no instance gets more results than it has
    # space for.
    When any pieces arrive, calls end or fail and results are released
    Then no piece is lost, doubled or beyond a limit

  Scenario: Under overload the less urgent are refused first
    # Both kinds cost a pool the same. The most urgent kind is worth more but
    # would be served less often, since it has the longest path of stages.
    Given a pool of 1 instance with calls of 1 piece
    When 3 pieces of priority 0 and 5 of priority 2 wait
    Then a new one of priority 0 expects 3 calls before it and one of 2 all 8

  Scenario: A new scheduler does not queue calls behind those of its predecessor
    # The previous host of the scheduler is shutting down while its last call
    # runs. A call that waits behind it is mistaken for slow and its pieces are
    # made twice; over seconds of restarts requests lost the work of their
    # stages.
    Given a pool of 1 instance with calls of 1 piece
    And another scheduler of the pool reported a call that counts for 300 ms
    Then no call is made at 250 ms and one at 301 ms

  Scenario: A result that was released early takes no space
    # Its consumer releases it at the new host of the scheduler. That host
    # learns of the result from the previous host a moment later and would count
    # its space for seconds.
    Given a pool of 1 instance with calls of 1 piece
    When a result is released before the scheduler that requested it reports it
    Then it takes no space in the account

  Scenario Outline: A stage runs where it moves the fewest bytes
    # A dossier's second stage reads six results of 60 kB for each of its ten
    # pieces and passes 60 kB to the engine: running it near the engine moved
    # ten times what running it near its inputs does. Light pieces run anywhere,
    # since waiting for a local instance would cost more than the bytes.
    When a stage has <inputs> kB to read in domain one and <outputs> kB to pass to domain two
    Then its pieces are best processed in domain <domain>

    Examples:
      | inputs | outputs | domain   |
      | 3600   | 60      | one      |
      | 48     | 3600    | two      |
      | 60     | 48      | anywhere |

  Scenario: A scheduler whose instances lack space expects longer waits
    # In a burst of large results the instances are idle for lack of space, and
    # call times predict four pieces at a time where one is made. Requests
    # admitted on that prediction were abandoned after their objective.
    Given a pool of 1 instance with calls of 4 pieces
    And space for 1 results at each instance
    When 12 pieces wait and one is worked off every 400 ms for 2 s
    Then a new one expects to wait for more than 2500 ms

  Scenario: A stage with large results is not started in part
    # Each instance has space for six results and makes four in a call. Half of
    # a request's pieces would occupy space for the time of another call while
    # the instances are idle for lack of space.
    Given a pool of 1 instance with calls of 4 pieces
    And space for 6 results at each instance
    When requests of 3, 2 and 1 pieces wait in this order
    Then the call carries the pieces of those of 3 and 1

  Scenario: The most urgent stage is started even if only a part of it fits
    # Small requests would otherwise overtake a large one indefinitely, and the
    # largest dossiers would not be served.
    Given a pool of 1 instance with calls of 4 pieces
    And space for 3 results at each instance
    When requests of 4, 1 and 1 pieces wait in this order
    Then the call carries the pieces of those of 3 and 0

  Scenario Outline: A call reports why it carries no more pieces
    # Calls ran half empty while pieces waited, and no log said whether the
    # cause was space, stages kept whole or a wait for a local instance.
    Given a pool of 1 instance with calls of 4 pieces
    And space for <results> results at each instance
    When <count> requests submit 1 piece each
    Then the call reports that <limit> kept it from carrying more

    Examples:
      | results | count | limit |
      | 9       | 5     | full  |
      | 2       | 3     | space |
      | 9       | 3     | queue |

  Scenario: A call reports pieces that wait for a local instance
    Given a pool of 1 instance with calls of 4 pieces
    When 1 piece for its own domain and 1 for another that is idle soon wait
    Then the call reports that held kept it from carrying more

  Scenario: An instance full of untracked results gets few calls
    # Guards against calls every few milliseconds to an instance that refuses all
    # their pieces at once: they used up the retry budget of the pool.
    Given a pool of 1 instance with calls of 4 pieces
    And space for 9 results at each instance
    When it is full for 2000 ms and a tracked result is released while 8 pieces wait
    Then it gets at most 1 call per 100 ms and 1 for the released result
    And all of them are made afterwards

  Scenario: Results of terminated gateways occupy space until they expire
    # Guards against calls to instances that are full of the results of gateways
    # that were killed: requests were refused for seconds after that.
    Given a pool of 1 instance with calls of 4 pieces
    And space for 9 results at each instance
    And its gateway has just started and results expire after 4000 ms
    When it is full for 4000 ms and a tracked result is released while 8 pieces wait
    Then it gets 1 call and 1 for the released result
    And all of them are made afterwards
