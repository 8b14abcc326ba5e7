import { ResultCode } from './resultCode.js';

const NOTHING = 'Nothing.';
const CORRECT_FIELD = 'Correct the field that the path names; nothing was applied.';
const CORRECT_SETTINGS = 'Correct the settings file; `burdockraild --check-settings` tells more.';
const BRIEF = 'Nothing while it is brief; if it lasts, see `burdockrail status`.';

/** What each result asks of the operator on call; docs/RESULTS.md holds the same texts. */
export const resultAdvice: Readonly<Record<ResultCode, string>> = {
  [ResultCode.Ok]: NOTHING,
  [ResultCode.BadRequest]: 'Nothing; the caller must correct its request.',
  [ResultCode.UnknownTeam]:
    'Declare the team in the fleet program, or have the caller name its own.',
  [ResultCode.UnknownService]: 'Declare the service, or have the caller correct its path.',
  [ResultCode.RateLimited]: 'Raise `requestsPerSecond` of the team if its load is wanted.',
  [ResultCode.ConcurrencyLimited]: 'Raise `concurrency` of the team if its load is wanted.',
  [ResultCode.Overloaded]:
    'Add upstreams, or lower the load; `burdockrail report` shows whose it is.',
  [ResultCode.NoUpstream]: 'Look for the upstreams of the service in `burdockrail status`.',
  [ResultCode.Quarantined]:
    'Keep the request for the makers of the model; it is accepted again when the time is over.',
  [ResultCode.DeadlineExceeded]: 'Compare the durations in `burdockrail report` with the deadline.',
  [ResultCode.UpstreamFailed]: "Read the upstream's own log if it happens more than now and then.",
  [ResultCode.AnswerIncomplete]:
    "Read the upstream's own log if it happens more than now and then.",
  [ResultCode.AnswerMismatched]:
    'Report it to the makers of the upstream; the answer was not used.',
  [ResultCode.Draining]: 'Nothing; another entry takes the request.',
  [ResultCode.VersionUnavailable]: 'Nothing during a rollout; the caller must begin anew.',
  [ResultCode.RetryBudgetSpent]: 'Find the failing upstreams in `burdockrail status` and the logs.',
  [ResultCode.BodyTooLarge]: 'Raise `entry.maximumBodyBytes` if such bodies are wanted.',
  [ResultCode.AttemptNeverStarted]: 'Nothing; the request did not run and may be sent again.',
  [ResultCode.InternalError]: 'Keep the log lines around event 2001 or 1004 and report them.',
  [ResultCode.KeyUnknown]: 'Add the key to a team, or have the caller use a valid one.',
  [ResultCode.KeysOutdated]: 'Look for what cuts the entry off from the control processes.',
  [ResultCode.ClaimInProgress]: 'Nothing; the caller asks again later.',
  [ResultCode.ClaimOutcomeUnknown]:
    "Look into the upstream's own records; the system will never send this request again.",
  [ResultCode.ClaimBodyDiffers]: 'Have the caller take a new idempotency key for each request.',
  [ResultCode.LedgerUnreachable]:
    "Find the ledger group of the service's home in `burdockrail status` and bring its voters back.",
  [ResultCode.ClaimNotFound]: 'Check key, service and team; the request may never have arrived.',
  [ResultCode.ClaimFenced]: 'Nothing; the request did not run and may be sent again.',
  [ResultCode.ClaimOutcomeNotKept]:
    "Read the answer in the upstream's own records; the request ran.",
  [ResultCode.NotLeader]: BRIEF,
  [ResultCode.QuorumUnreachable]:
    'Send the order again under the same order id once a majority of the voters answers.',
  [ResultCode.RevisionConflict]:
    'Read what is in force with `burdockrail config plan`, then apply again if it is still wanted.',
  [ResultCode.GroupNotFormed]: 'Form the groups of a new fleet with `burdockrail cluster form`.',
  [ResultCode.GroupAlreadyFormed]:
    'Nothing; only if all replicas lost what they had, see the page on losses in OPERATING.md.',
  [ResultCode.StaleRevision]: 'Nothing; a late order was refused.',
  [ResultCode.StorageCorrupt]:
    'Check the disk, empty the data folder and start the process again; it returns as a learner.',
  [ResultCode.ReplicaIsLearner]: BRIEF,
  [ResultCode.FleetInvalid]: 'Correct each field that is listed; nothing was applied.',
  [ResultCode.FleetProgramFailed]: 'Correct the program; nothing was applied.',
  [ResultCode.SettingsInvalid]: CORRECT_SETTINGS,
  [ResultCode.SettingsUnreadable]: 'Check the path and the rights of the settings file.',
  [ResultCode.VersionNotInStore]: 'Publish the version, or correct it in the fleet program.',
  [ResultCode.FleetFieldInvalid]: CORRECT_FIELD,
  [ResultCode.FleetNameRepeated]: 'Rename or remove one of the elements; nothing was applied.',
  [ResultCode.FleetDataCentreUnknown]: 'Declare the data centre or correct its name.',
  [ResultCode.FleetHomeWithoutUpstreams]: 'Move the home, or expect an upstream there.',
  [ResultCode.FleetWeightsMissing]: CORRECT_FIELD,
  [ResultCode.FleetWeightsNotAllowed]: CORRECT_FIELD,
  [ResultCode.FleetRoutesConflict]: 'Mark the inner route as never repeated too, or move it out.',
  [ResultCode.FleetVersionAmbiguous]: 'Find out which digest the weight store has; keep only that.',
  [ResultCode.FleetNoTeams]: 'Declare the teams that may send requests.',
  [ResultCode.SettingsFieldInvalid]: CORRECT_SETTINGS,
  [ResultCode.SettingsNoRole]: CORRECT_SETTINGS,
  [ResultCode.SettingsPeerMissing]: CORRECT_SETTINGS,
  [ResultCode.SettingsNameRepeated]: CORRECT_SETTINGS,
  [ResultCode.SettingsSourceMissing]: CORRECT_SETTINGS,
  [ResultCode.SettingsAddressRepeated]: CORRECT_SETTINGS,
  [ResultCode.SettingsPeerDiffers]: CORRECT_SETTINGS,
  [ResultCode.ProfileInvalid]: 'Correct the profile file; it lists processes as settings do.',
  [ResultCode.ProcessesUnreachable]:
    'Check the addresses of the profile, then whether the processes run and the network is whole.',
  [ResultCode.LogUnreadable]: 'Check the path and the rights of the log file.',
  [ResultCode.OrderNotConfirmed]:
    'Run the command again with the order id that it names; never under a new one.',
  [ResultCode.ChunkNotHeld]: NOTHING,
  [ResultCode.ChunkCorrupt]: 'Nothing once; if one source is named often, replace its VM.',
  [ResultCode.UploadsBusy]: NOTHING,
  [ResultCode.OriginUnreachable]: 'Check the origin and the link to it; the rollout goes on after.',
  [ResultCode.EngineRefusedOrder]: 'Nothing once; if it lasts, restart the agent of the upstream.',
  [ResultCode.WeightsIncomplete]: 'See what to do when a rollout stalls in OPERATING.md.',
  [ResultCode.ConnectionLost]: BRIEF,
  [ResultCode.CallTimedOut]: BRIEF,
  [ResultCode.UnknownMessage]: 'Bring all processes to the same release.',
  [ResultCode.MessageMalformed]: 'Bring all processes to the same release; else check the network.',
};
