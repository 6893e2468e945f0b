Feature: TLS on both faces, with certificates that change under load

  Scenario: Both faces speak TLS by settings
    Given a daemon that shows the certificate "first" on both faces
    Then a caller gets a whole answer over TLS
    And an operator gets the status over TLS
    And a call without TLS is not answered

  Scenario: A new certificate cuts no stream
    A wearer's reminder is being drafted when the operators renew the
    certificate. Changing it must not cost the stream; the next caller must
    see the new one, or renewals would need a restart.

    Given a daemon that shows the certificate "first" on both faces
    When a caller begins a stream over TLS
    And the files are replaced by the certificate "second"
    Then new connections are shown the certificate "second" on both faces
    And the stream goes on to its whole end

  Scenario: A hang-up signal reloads at once
    Given a daemon that looks at its files only on a signal
    When the files are replaced by the certificate "second"
    Then new connections are shown the certificate "first" on both faces
    When the daemon gets a hang-up signal
    Then new connections are shown the certificate "second" on both faces

  Scenario Outline: A broken new certificate leaves the old in force
    The operators copy a wrong file. Every new connection would fail, and the
    balancer take the host out, if the daemon took it, or half of it.

    Given a daemon that shows the certificate "first" on both faces
    When the files are replaced by <broken>
    Then the time line tells of a failed reload
    And new connections are shown the certificate "first" on both faces
    When the files are replaced by the certificate "second"
    Then new connections are shown the certificate "second" on both faces

    Examples:
      | broken                        |
      | a certificate of another key  |
      | text that is no certificate   |
      | an empty key                  |
      | an encrypted key              |
      | nothing: both are gone        |

  Scenario Outline: Settings that TLS cannot work with are refused at the start
    When a settings file names <files>
    Then the fault names file, section and key "<key>"

    Examples:
      | files                          | key              |
      | a certificate without a key    | key_file         |
      | a key without a certificate    | key_file         |
      | a certificate of another key   | certificate_file |
      | text that is no certificate    | certificate_file |
      | an encrypted key               | certificate_file |
      | a certificate that is not there | certificate_file |
