Feature: Days on which callers compete for space for results

  Scenario: More is served in a burst that takes an instance of a scarce pool
    # One of three instances is lost in bursts of 2.3 times one kind and 1.6
    # times all kinds, before pools whose results hold for four seconds.
    When the model simulates the loss of an instance of fleet-dispatch where space is scarce
    Then more of the worth is attained than without saving space
    And no kind is in time less often than a less urgent one that needs no other pool

  Scenario: Service is back to normal soon after a burst
    # Callers that were refused come back while the queue is still long. If that
    # kept pools busy with requests that are late, a burst would not end.
    When the model simulates bursts where space is scarce
    Then from 3 s after each burst on nine tenths are in time
