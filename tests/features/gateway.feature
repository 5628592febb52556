@each.gateway
Feature: A gateway forwards requests and reports their outcomes correctly

  Scenario Outline: A non-repeatable request meets an upstream that <does>
    # A custody entry must not be recorded twice: once the request has been
    # handed over it must not be retried, whatever happens, and no response may
    # claim that it has not run.
    When a caller posts to /unsafe/<does>
    Then it gets status <status> and the request has run <runs> times

    Examples:
      | does     | status | runs |
      | answer   | 200    | 1    |
      | close    | 502    | 1    |
      | busy     | 502    | 1    |
      | fail     | 500    | 1    |
      | other    | 502    | 1    |
      | unsigned | 502    | 1    |
      | truncate | 502    | 1    |
      | reset    | 502    | 1    |
      | unframed | 200    | 1    |
      | refuse   | 503    | 0    |

  Scenario: A GET of a route that may not be repeated is sent once
    # The HTTP client retries a GET by itself when a keep-alive connection
    # breaks, which would record the caller's entry twice.
    When a caller gets /unsafe/answer
    And a caller gets /unsafe/close
    Then it gets status 502 and the request has run 1 times

  Scenario: A refusal says when to retry
    When a caller posts to /unsafe/refuse
    Then the answer has a Retry-After and no signature

  Scenario: A repeatable request is retried at another instance
    When a caller posts to /safe/fail
    Then it gets status 500 and the request has run 2 times

  Scenario: A late second answer is not taken for the next request's
    # An upstream responds twice; the second response is already buffered on the
    # keep-alive connection when the next request is sent over it.
    When a caller posts to /unsafe/twice
    And the second answer has come
    And 20 callers post to /unsafe/answer
    Then each of them got its own complete response

  Scenario: A gateway pauses while it connects to its upstreams
    # Guards against a refusal although every upstream accepts: the connect
    # timeout passes while the process of the gateway does not run.
    Given a gateway that pauses each time it connects to an upstream
    When a caller posts to /unsafe/answer
    Then it gets status 200 and the request has run 1 times

  Scenario: An upstream does not accept connections
    # Guards against a request that waits for a frozen upstream until its time
    # has passed.
    Given instance u1 does not accept connections
    When 20 callers post to /unsafe/answer
    Then each of them got its own complete response

  Scenario: Headers reserved for the system are not accepted from a caller
    # A caller that forges another organisation's name would run as that
    # organisation; one that forges a hold would use memory reserved for others.
    When a caller forges the headers that the system sets
    Then the upstream saw the system's own and never the caller's key

  Scenario Outline: The gateway refuses <what>
    When the gateway is sent <what>
    Then it gets status <status> and the request has run 0 times

    Examples:
      | what                     | status |
      | an unknown key           | 401    |
      | a path without a route   | 404    |
      | a body beyond the limit  | 413    |

  Scenario: A complete stream is forwarded unchanged
    When a caller posts to /stream/stream
    Then it gets all 5 events once, in order, and the end

  Scenario: A broken stream that cannot resume does not look complete
    # The upstream terminates in the middle of an event.  A body that ended
    # regularly would be taken for the complete dossier.
    Given upstreams that break off streams after 2 events
    When a caller posts to /stream/break
    Then it gets 2 events and a broken connection

  Scenario: A broken stream that can resume continues in the same response
    Given upstreams that break off streams after 3 events
    When a caller posts to /resumable/break
    Then it gets all 5 events once, in order, and the end

  Scenario: A request is cancelled when its caller disconnects
    # The caller closes its connection while the upstream is working; the
    # upstream must see the close, or its work is wasted.
    When a caller disconnects while /safe/wait is worked on
    Then the upstream sees the connection close

  @fixture.log_lines
  Scenario: The log names the instance that a disconnected caller waited for
    # A caller waits for its whole time limit and disconnects.  Its engine was
    # unresponsive, but no log line named it, since the request had neither a
    # response nor a failure.
    When a caller disconnects while /safe/wait is worked on
    Then the log says that it waited for the instance that had its request

  Scenario: A request past its time limit is answered at once
    When a caller waits 300 ms for /unsafe/wait
    Then it gets status 504 and the request has run 1 times

  Scenario: An instance that reports its shutdown gets no new work
    Given instance u1 reports that it shuts down
    When the list has been read
    And 20 callers post to /safe/answer
    Then instance u1 got none of them

  Scenario: A request for an earlier incarnation does not run at its successor
    # The list still shows the old incarnation, whose address now belongs to
    # another instance.
    Given instance u1 was replaced at its address by another one
    When 10 callers post to /unsafe/answer
    Then each of them got its own complete response

  Scenario: A misdirected request uses up no attempt of its route
    # Guards against requests that are refused after a failure domain has come
    # back, since the list still shows the instances of before.
    Given the route of /unsafe/ allows 1 attempt
    And instance u1 was replaced at its address by another one
    When 10 callers post to /unsafe/answer
    Then each of them got its own complete response

  Scenario: A configuration becomes active although watches receive no update
    Given the store leaves watches waiting and drops its history
    When the operators add a route for /new/
    Then the gateway serves /new/answer within its bound

  Scenario: An older configuration never becomes active again
    When the operators write version 9 and the store then shows version 4
    Then the gateway stays at version 9

  Scenario: A gateway reads the store in one call
    # The platform counts each call, and its rate limits grow more slowly than
    # the fleet, so configuration, instances and members are read together.
    When the gateway has read the store 3 times more
    Then it made one call for each, and others only to renew its lease

  Scenario: A foreign value that is not text does not stop updates
    # Reading everything returns keys of other writers, whose values may be any
    # bytes.  A gateway that fails on one would miss every later change.
    Given another process writes bytes that are not text to the store
    When the operators add a route for /new/
    Then the gateway serves /new/answer within its bound

  Scenario Outline: The store <fault> and the gateway continues to serve
    # An outage of the store must not become an outage for callers.
    Given a store that <fault>
    When 10 callers post to /safe/answer
    Then each of them got its own complete response
    And the gateway applies changes again after the fault

    Examples:
      | fault               |
      | refuses every call  |
      | drops every call    |
      | answers no call     |

  Scenario: Records that lapsed in an outage are not taken for departures
    # Leases expired while the store was unavailable; live upstreams are listed
    # again within two seconds.  Dropping them at once would empty the pool.
    Given a store that was away and shows no instance when it returns
    When 10 callers post to /safe/answer
    Then each of them got its own complete response

  Scenario: A planned stop interrupts no request
    # Readiness turns negative at once; requests in flight and requests that
    # still arrive are served, and each response closes its connection.
    When the gateway is asked to stop while requests come
    Then readiness is negative at once and every request is answered completely

  Scenario: A planned stop lets a stream in flight complete
    # A gateway is replaced while it relays a dossier.  The connection must
    # outlive the quiet periods of the drain and close only after the end.
    When the gateway is asked to stop in the middle of /stream/pause
    And the upstream then continues
    Then it gets all 5 events once, in order, and the end

  Scenario: A gateway serves after its first read of the store
    # After all processes were killed at once, each further read that a start
    # needs would extend the time in which no request is served.
    When another gateway starts and is ready
    Then it has called the store no more than 5 times

  Scenario: Stage work of several callers shares calls without mixing results
    # Pieces of different requests are processed in one call; a mix-up would
    # return the custody chain of another caller's bale.
    Given two more gateways and an instance for stage work
    When 12 callers post to /staged/answer through all gateways
    Then each of them got its own complete response
    And each ran once with all inputs of its own
    And there were fewer calls for pieces than pieces
    And all results are released

  Scenario: A piece that fails is retried with the same inputs
    # One of many pieces of a late stage fails.  If the results of the stage
    # before were released when its call began, the retry would not find them,
    # and the work of the whole request would be lost.
    Given two more gateways and an instance for stage work
    And calls for pieces take 100 ms
    And the next 3 pieces of a second stage fail
    When 6 callers post to /staged/answer through all gateways
    Then each of them got its own complete response

  Scenario Outline: The answer to a call is broken off: by its <framing>, <end>
    # Guards against results that are taken from a part of an answer, and against
    # requests that are lost with it.
    Given two more gateways and an instance for stage work
    And the next 2 answers to calls are framed by their <framing>, cut in the middle, and end by <end>
    When 6 callers post to /staged/answer through all gateways
    Then each of them got its own complete response

    Examples:
      | framing    | end   |
      | connection | close |
      | connection | reset |
      | length     | close |
      | chunked    | reset |

  Scenario: The answer to a call nests its values deeply
    # Guards against a call that never ends, and an instance that gets no other,
    # since the decoder of its answer raised an unexpected error.
    Given two more gateways and an instance for stage work
    And the next 2 answers to calls nest their values 5000 levels deep
    When 6 callers post to /staged/answer through all gateways
    Then each of them got its own complete response

  Scenario: The host of a scheduler is killed while it has pieces of others
    # The gateway that fills the calls of a pool is killed; gateways that sent
    # pieces to it get no response and must use another host.
    Given two more gateways and an instance for stage work
    And calls for pieces take 400 ms
    When the host of the scheduler is killed while 6 callers wait for pieces
    Then each of them got its own complete response

  Scenario: The host of a scheduler changes while pieces wait and run
    # The host stops regularly.  The new host must not send calls beside those
    # of the old one, and takes over the pieces that waited there.
    Given two more gateways and an instance for stage work
    And calls for pieces take 400 ms
    When the host of the scheduler stops while 12 callers wait for pieces
    Then each of them got its own complete response
    And the instance never had two calls at a time
    And all results are released

  Scenario: The calls of a stopping host reach the new host late
    # Guards against a new host that starts calls beside those it has not heard
    # of yet.
    Given two more gateways and an instance for stage work
    And calls for pieces take 400 ms
    And gateways hand over their schedulers 200 ms late
    When the host of the scheduler stops while 12 callers wait for pieces
    Then each of them got its own complete response
    And the instance never had two calls at a time

  Scenario: Results are released through a gateway that is no longer the host
    # Guards against released results that are still counted as stored: when
    # the accounted space is full, every call is held back until they expire.
    Given two more gateways and an instance for stage work
    When a result counted by the host is released through another gateway
    Then it is released once, and the host no longer counts it

  Scenario: A gateway that starts is known to one that is stopping
    # In a rolling restart the first gateway is back while the second still
    # serves.  If the second did not know of it, it would host the schedulers
    # itself, beside the host that all others have chosen.
    Given two more gateways and an instance for stage work
    When two gateways stop and another one starts meanwhile
    Then the stopping gateways choose the new or the third gateway as host

  Scenario: A gateway that starts while the store is unavailable refuses
    # Without a configuration it cannot authenticate callers: a 401 would turn
    # a valid caller away permanently.
    Given a store that drops every call
    When a gateway starts
    Then it is not ready and answers 503
    And it serves without a restart once the store is available

  Scenario: All gateways restore their state from the store after a total loss
    Given two more gateways and an instance for stage work
    When all gateways are killed and started again
    Then they serve the newest configuration

  Scenario: All gateways together stay within the retry budget
    # Every upstream fails every request.  If each gateway had a budget of its
    # own, the retries would double the load on a failing pool.
    Given two more gateways and an instance for stage work
    When 240 callers post to /safe/fail through all gateways
    Then the pool got no more than 240 requests, and a fifth of them and 100 as retries

  Scenario: A stop that reaches its limit answers what it cannot finish
    # A caller whose connection is cut does not learn the outcome.  A request
    # that arrives late in the stop is refused at once, to be sent elsewhere; a
    # request that waits for an upstream is told, before the process ends, that
    # it may have run.
    Given a gateway with 5 s between TERM and its end
    When it is asked to stop while a caller waits for /unsafe/wait
    And a stream is requested late in the stop
    Then the stream was refused as not run and the waiting caller got status 502

  Scenario Outline: A caller that <does> is disconnected
    # Callers that stop halfway, by fault or on purpose, would hold a connection
    # and its memory without end.
    Given a configuration whose time limits are 300 ms
    When a caller <does>
    Then the gateway ends its connection with status <status>

    Examples:
      | does                           | status |
      | sends half of a head           | 408    |
      | sends half of a body           | 408    |
      | opens a connection and is idle | none   |
      | is idle after an answer        | none   |

  Scenario: A longer idle limit applies to connections that are already open
    # A caller that follows the new limit reuses a connection that was opened
    # under the old one.  If the gateway closed it by the old limit, the request
    # would cross the close and be lost.
    Given a configuration whose time limits are 700 ms
    When a caller has an answer and the limit then grows to 60000 ms
    Then the caller gets an answer on the same connection after the old limit
