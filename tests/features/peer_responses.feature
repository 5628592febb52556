Feature: A response of a peer gateway is taken only for its request

  Scenario: A copy of a host's response arrives during the next request
    # Guards against pieces that get the results of another request, and against
    # later responses that are each taken for the next request's.
    Given a host of a scheduler that sends its second response once more, late
    When 4 requests for pieces are sent to it, one after the other
    Then each of them gets the result of its own piece

  @each.gateway
  Scenario: A gateway names the request of a peer in its response
    # Guards against a gateway whose responses its peers cannot tell apart.
    When a peer posts to the gateway, with and without an identifier
    Then the responses name what the peer has sent
