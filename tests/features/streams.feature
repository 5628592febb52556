@fixture.kingston
Feature: Generation is complete or fails as a whole
  Each token reaches the caller once and in order, also when engines fail.

  Scenario: An engine disconnects in the middle of a stream
    # Half of the tokens have been sent when the engine's connection is lost;
    # another engine resumes after the last token.
    Given three of five engines disconnect in their next stream
    When 10 streamed requests are sent
    Then all of them are answered
    And a resumed stream was counted
    And no request of any caller was lost, doubled, crossed or falsely reported as not run

  Scenario: An engine answers with another request's tokens
    # A faulty engine labels its tokens with another request; they must not
    # reach any caller.
    Given three of five engines cross their next answer
    When 10 streamed requests are sent
    Then all of them are answered
    And no request of any caller was lost, doubled, crossed or falsely reported as not run

  Scenario: The caller disconnects in the middle of a stream
    # The caller closes its connection; without cancellation the engine would
    # generate tokens that no caller reads.
    Given the engines are slow
    When a caller disconnects after the first token
    Then an engine cancels its work
    Given the engines behave

  Scenario: An encoder fails every call at once
    # A broken encoder responds with errors at once, looks idle and would
    # attract all requests.
    Given one encoder fails every call
    When 30 requests of any kind are sent
    Then all of them are answered
    And it was tried for fewer than half of them
    Given the encoders behave
