import { ResultCode } from './resultCode.js';

const NO_ACTION = 'No action needed.';
const CORRECT_FIELD = 'Correct the field at the given path; nothing was applied.';
const CORRECT_SETTINGS =
  'Correct the settings file; `burdockraild --check-settings` shows details.';
const CHECK_IF_PERSISTENT = 'No action if it is brief; if it persists, check `burdockrail status`.';

/** Action for the operator on call by result; docs/RESULTS.md is generated from these texts. */
export const resultAdvice: Readonly<Record<ResultCode, string>> = {
  [ResultCode.Ok]: NO_ACTION,
  [ResultCode.BadRequest]: 'No action; the caller must correct its request.',
  [ResultCode.UnknownTeam]:
    'Declare the team in the fleet program, or have the caller name its own team.',
  [ResultCode.UnknownService]: 'Declare the service, or have the caller correct its path.',
  [ResultCode.RateLimited]: 'Raise `requestsPerSecond` of the team if the load is legitimate.',
  [ResultCode.ConcurrencyLimited]: 'Raise `concurrency` of the team if the load is legitimate.',
  [ResultCode.Overloaded]:
    'Add upstreams or reduce the load; `burdockrail report` shows the requests of each team.',
  [ResultCode.NoUpstream]: 'Check the upstreams of the service in `burdockrail status`.',
  [ResultCode.Quarantined]:
    'Save the request for the maintainers of the model; it is accepted again after the quarantine.',
  [ResultCode.DeadlineExceeded]: 'Compare the durations in `burdockrail report` with the deadline.',
  [ResultCode.UpstreamFailed]: "Check the upstream's own log if it happens repeatedly.",
  [ResultCode.AnswerIncomplete]: "Check the upstream's own log if it happens repeatedly.",
  [ResultCode.AnswerMismatched]:
    'Report it to the maintainers of the upstream; the answer was discarded.',
  [ResultCode.Draining]: 'No action; another entry takes the request.',
  [ResultCode.VersionUnavailable]: 'No action during a rollout; the caller must start over.',
  [ResultCode.RetryBudgetSpent]:
    'Find the failing upstreams in `burdockrail status` and in the logs.',
  [ResultCode.BodyTooLarge]:
    'Raise `entry.maximumBodyBytes` if bodies of this size are legitimate.',
  [ResultCode.AttemptNeverStarted]: 'No action; the request did not run and may be sent again.',
  [ResultCode.InternalError]: 'Save the log lines around event 2001 or 1004 and report them.',
  [ResultCode.KeyUnknown]: 'Add the key to a team, or have the caller use a valid one.',
  [ResultCode.KeysOutdated]: 'Find out why the entry cannot reach the control processes.',
  [ResultCode.ClaimInProgress]: 'No action; the caller must retry later.',
  [ResultCode.ClaimOutcomeUnknown]:
    "Check the upstream's own records; the system never sends this request again.",
  [ResultCode.ClaimBodyDiffers]: 'Have the caller use a new idempotency key for each request.',
  [ResultCode.LedgerUnreachable]:
    "Find the ledger group of the service's home in `burdockrail status` and restore its voters.",
  [ResultCode.ClaimNotFound]:
    'Check the key, service and team; the request may never have arrived.',
  [ResultCode.ClaimFenced]: 'No action; the request did not run and may be sent again.',
  [ResultCode.ClaimOutcomeNotKept]:
    "Read the answer in the upstream's own records; the request ran.",
  [ResultCode.NotLeader]: CHECK_IF_PERSISTENT,
  [ResultCode.QuorumUnreachable]:
    'Send the order again with the same order id once a majority of the voters answers.',
  [ResultCode.RevisionConflict]:
    'Check what is in force with `burdockrail config plan`; apply again if still wanted.',
  [ResultCode.GroupNotFormed]: 'Form the groups of a new fleet with `burdockrail cluster form`.',
  [ResultCode.GroupAlreadyFormed]:
    'No action, unless all replicas lost their data: see the section on losses in OPERATING.md.',
  [ResultCode.StaleRevision]: 'No action; a delayed order was refused.',
  [ResultCode.StorageCorrupt]:
    'Check the disk, empty the data folder and restart the process; it rejoins as a learner.',
  [ResultCode.ReplicaIsLearner]: CHECK_IF_PERSISTENT,
  [ResultCode.FleetInvalid]: 'Correct each field that is listed; nothing was applied.',
  [ResultCode.FleetProgramFailed]: 'Correct the program; nothing was applied.',
  [ResultCode.SettingsInvalid]: CORRECT_SETTINGS,
  [ResultCode.SettingsUnreadable]: 'Check the path and the permissions of the settings file.',
  [ResultCode.VersionNotInStore]: 'Publish the version, or correct it in the fleet program.',
  [ResultCode.FleetFieldInvalid]: CORRECT_FIELD,
  [ResultCode.FleetNameRepeated]: 'Rename or remove one of the elements; nothing was applied.',
  [ResultCode.FleetDataCentreUnknown]: 'Declare the data centre or correct its name.',
  [ResultCode.FleetHomeWithoutUpstreams]: 'Choose another home, or declare an upstream there.',
  [ResultCode.FleetWeightsMissing]: CORRECT_FIELD,
  [ResultCode.FleetWeightsNotAllowed]: CORRECT_FIELD,
  [ResultCode.FleetRoutesConflict]:
    'Mark the inner route as non-repeatable too, or move it out of the outer route.',
  [ResultCode.FleetVersionAmbiguous]:
    'Keep only the digest that the weight store has for this version.',
  [ResultCode.FleetNoTeams]: 'Declare the teams that may send requests.',
  [ResultCode.SettingsFieldInvalid]: CORRECT_SETTINGS,
  [ResultCode.SettingsNoRole]: CORRECT_SETTINGS,
  [ResultCode.SettingsPeerMissing]: CORRECT_SETTINGS,
  [ResultCode.SettingsNameRepeated]: CORRECT_SETTINGS,
  [ResultCode.SettingsSourceMissing]: CORRECT_SETTINGS,
  [ResultCode.SettingsAddressRepeated]: CORRECT_SETTINGS,
  [ResultCode.SettingsPeerDiffers]: CORRECT_SETTINGS,
  [ResultCode.ProfileInvalid]:
    'Correct the profile file; it lists processes in the same form as the settings.',
  [ResultCode.ProcessesUnreachable]:
    'Check the addresses in the profile, then the processes and the network.',
  [ResultCode.LogUnreadable]: 'Check the path and the permissions of the log file.',
  [ResultCode.OrderNotConfirmed]:
    'Run the command again with the printed order id; never use a new one.',
  [ResultCode.ChunkNotHeld]: NO_ACTION,
  [ResultCode.ChunkCorrupt]: 'No action if it happens once; if one source recurs, replace its VM.',
  [ResultCode.UploadsBusy]: NO_ACTION,
  [ResultCode.OriginUnreachable]: 'Check the origin and the link to it; the rollout then resumes.',
  [ResultCode.EngineRefusedOrder]:
    'No action if it happens once; if it persists, restart the agent of the upstream.',
  [ResultCode.WeightsIncomplete]: 'See the section on stalled rollouts in OPERATING.md.',
  [ResultCode.ConnectionLost]: CHECK_IF_PERSISTENT,
  [ResultCode.CallTimedOut]: CHECK_IF_PERSISTENT,
  [ResultCode.UnknownMessage]: 'Bring all processes to the same release.',
  [ResultCode.MessageMalformed]:
    'Bring all processes to the same release; if they are, check the network.',
};
