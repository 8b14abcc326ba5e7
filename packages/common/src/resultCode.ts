/** Whether a request, or the effect that it asked for, was executed. */
export type RunState = 'ran' | 'not-run' | 'unknown';

/**
 * Codes of all results that the system returns to callers, operators and its own processes.
 *
 * @remarks
 * 1xx requests, 2xx claims of non-repeatable requests, 3xx consensus and configuration changes,
 * 4xx fleet programs and settings, 5xx weights, 6xx connections between processes.
 */
export enum ResultCode {
  Ok = 0,
  BadRequest = 100,
  UnknownTeam = 101,
  UnknownService = 102,
  RateLimited = 103,
  ConcurrencyLimited = 104,
  Overloaded = 105,
  NoUpstream = 106,
  Quarantined = 107,
  DeadlineExceeded = 108,
  UpstreamFailed = 109,
  AnswerIncomplete = 110,
  AnswerMismatched = 111,
  Draining = 112,
  VersionUnavailable = 113,
  RetryBudgetSpent = 114,
  BodyTooLarge = 115,
  AttemptNeverStarted = 116,
  InternalError = 117,
  KeyUnknown = 118,
  KeysOutdated = 119,
  ClaimInProgress = 200,
  ClaimOutcomeUnknown = 201,
  ClaimBodyDiffers = 202,
  LedgerUnreachable = 203,
  ClaimNotFound = 204,
  ClaimFenced = 205,
  ClaimOutcomeNotKept = 206,
  NotLeader = 300,
  QuorumUnreachable = 301,
  RevisionConflict = 302,
  GroupNotFormed = 303,
  GroupAlreadyFormed = 304,
  StaleRevision = 305,
  StorageCorrupt = 306,
  ReplicaIsLearner = 307,
  FleetInvalid = 400,
  FleetProgramFailed = 401,
  SettingsInvalid = 402,
  SettingsUnreadable = 403,
  VersionNotInStore = 404,
  FleetFieldInvalid = 405,
  FleetNameRepeated = 406,
  FleetDataCentreUnknown = 407,
  FleetHomeWithoutUpstreams = 408,
  FleetWeightsMissing = 409,
  FleetWeightsNotAllowed = 410,
  FleetRoutesConflict = 411,
  FleetVersionAmbiguous = 412,
  FleetNoTeams = 413,
  SettingsFieldInvalid = 420,
  SettingsNoRole = 421,
  SettingsPeerMissing = 422,
  SettingsNameRepeated = 423,
  SettingsSourceMissing = 424,
  SettingsAddressRepeated = 425,
  SettingsPeerDiffers = 426,
  ProfileInvalid = 430,
  ProcessesUnreachable = 431,
  LogUnreadable = 432,
  OrderNotConfirmed = 433,
  ChunkNotHeld = 500,
  ChunkCorrupt = 501,
  UploadsBusy = 502,
  OriginUnreachable = 503,
  EngineRefusedOrder = 504,
  WeightsIncomplete = 505,
  ConnectionLost = 600,
  CallTimedOut = 601,
  UnknownMessage = 602,
  MessageMalformed = 603,
}

/** HTTP status and explanation of one result code. */
export interface ResultDescription {
  /** HTTP status that an entry returns to the caller. */
  readonly httpStatus: number;
  /** One-sentence explanation. */
  readonly text: string;
}

/** Description of every result code; docs/RESULTS.md is generated from this table. */
export const resultDescriptions: Readonly<Record<ResultCode, ResultDescription>> = {
  [ResultCode.Ok]: { httpStatus: 200, text: 'The request was carried out.' },
  [ResultCode.BadRequest]: { httpStatus: 400, text: 'The request is malformed.' },
  [ResultCode.UnknownTeam]: { httpStatus: 403, text: 'The team is not part of the fleet.' },
  [ResultCode.UnknownService]: { httpStatus: 404, text: 'No service of the fleet has this route.' },
  [ResultCode.RateLimited]: { httpStatus: 429, text: 'The team exceeds its request rate.' },
  [ResultCode.ConcurrencyLimited]: {
    httpStatus: 429,
    text: 'The team has too many requests in progress.',
  },
  [ResultCode.Overloaded]: {
    httpStatus: 503,
    text: 'The service has no capacity for the request.',
  },
  [ResultCode.NoUpstream]: { httpStatus: 503, text: 'No upstream of the service is available.' },
  [ResultCode.Quarantined]: {
    httpStatus: 422,
    text: 'Requests with this content crashed upstreams and are refused temporarily.',
  },
  [ResultCode.DeadlineExceeded]: { httpStatus: 504, text: 'The deadline of the request passed.' },
  [ResultCode.UpstreamFailed]: { httpStatus: 502, text: 'The upstream failed during the request.' },
  [ResultCode.AnswerIncomplete]: {
    httpStatus: 502,
    text: 'The answer ended before it was complete.',
  },
  [ResultCode.AnswerMismatched]: {
    httpStatus: 502,
    text: 'The upstream sent an answer that belongs to another request.',
  },
  [ResultCode.Draining]: { httpStatus: 503, text: 'The process is shutting down.' },
  [ResultCode.VersionUnavailable]: {
    httpStatus: 503,
    text: 'No upstream serves the weights that the request requires.',
  },
  [ResultCode.RetryBudgetSpent]: { httpStatus: 503, text: 'The retry budget is exhausted.' },
  [ResultCode.BodyTooLarge]: { httpStatus: 413, text: 'The body exceeds the size limit.' },
  [ResultCode.AttemptNeverStarted]: {
    httpStatus: 503,
    text: 'The attempt was refused before it started.',
  },
  [ResultCode.InternalError]: { httpStatus: 500, text: 'The process failed unexpectedly.' },
  [ResultCode.KeyUnknown]: { httpStatus: 401, text: 'No team has the key of the request.' },
  [ResultCode.KeysOutdated]: {
    httpStatus: 503,
    text: 'The configuration of the entry is too old to rule out that the key was revoked.',
  },
  [ResultCode.ClaimInProgress]: {
    httpStatus: 409,
    text: 'A request with this idempotency key is in progress.',
  },
  [ResultCode.ClaimOutcomeUnknown]: {
    httpStatus: 409,
    text: 'The outcome of the request with this idempotency key is unknown; no retry is made.',
  },
  [ResultCode.ClaimBodyDiffers]: {
    httpStatus: 422,
    text: 'The idempotency key was used with another request.',
  },
  [ResultCode.LedgerUnreachable]: {
    httpStatus: 503,
    text: 'The ledger of the service cannot be reached; the request was not sent.',
  },
  [ResultCode.ClaimNotFound]: { httpStatus: 404, text: 'No request has this idempotency key.' },
  [ResultCode.ClaimFenced]: { httpStatus: 409, text: 'The attempt was fenced before it started.' },
  [ResultCode.ClaimOutcomeNotKept]: {
    httpStatus: 409,
    text: 'The request ran; its answer was too large to store.',
  },
  [ResultCode.NotLeader]: { httpStatus: 503, text: 'The replica is not the leader of the group.' },
  [ResultCode.QuorumUnreachable]: {
    httpStatus: 503,
    text: 'No quorum confirmed the change in time; it may still take effect.',
  },
  [ResultCode.RevisionConflict]: {
    httpStatus: 409,
    text: 'Another configuration change was accepted first.',
  },
  [ResultCode.GroupNotFormed]: { httpStatus: 503, text: 'The group has not been formed.' },
  [ResultCode.GroupAlreadyFormed]: { httpStatus: 409, text: 'The group has already been formed.' },
  [ResultCode.StaleRevision]: {
    httpStatus: 409,
    text: 'The order has a lower revision than one already received.',
  },
  [ResultCode.StorageCorrupt]: {
    httpStatus: 500,
    text: 'The data folder contains records with an invalid checksum.',
  },
  [ResultCode.ReplicaIsLearner]: { httpStatus: 503, text: 'The replica is a learner.' },
  [ResultCode.FleetInvalid]: { httpStatus: 400, text: 'The fleet configuration is invalid.' },
  [ResultCode.FleetProgramFailed]: { httpStatus: 400, text: 'The fleet program failed.' },
  [ResultCode.SettingsInvalid]: { httpStatus: 400, text: 'The settings are invalid.' },
  [ResultCode.SettingsUnreadable]: { httpStatus: 400, text: 'The settings file cannot be read.' },
  [ResultCode.VersionNotInStore]: {
    httpStatus: 404,
    text: 'The weight store has no such version.',
  },
  [ResultCode.FleetFieldInvalid]: {
    httpStatus: 400,
    text: 'A field of the fleet configuration is missing, unknown or out of range.',
  },
  [ResultCode.FleetNameRepeated]: {
    httpStatus: 400,
    text: 'Two elements of one list of the fleet configuration have the same name.',
  },
  [ResultCode.FleetDataCentreUnknown]: {
    httpStatus: 400,
    text: 'A service names a data centre that the fleet does not declare.',
  },
  [ResultCode.FleetHomeWithoutUpstreams]: {
    httpStatus: 400,
    text: 'A service expects no upstream in its home data centre.',
  },
  [ResultCode.FleetWeightsMissing]: { httpStatus: 400, text: 'A model service has no weights.' },
  [ResultCode.FleetWeightsNotAllowed]: {
    httpStatus: 400,
    text: 'A plain service has weights or adapters.',
  },
  [ResultCode.FleetRoutesConflict]: {
    httpStatus: 400,
    text: 'A repeatable route is nested in a non-repeatable route.',
  },
  [ResultCode.FleetVersionAmbiguous]: {
    httpStatus: 400,
    text: 'One version of a model is declared with two digests.',
  },
  [ResultCode.FleetNoTeams]: { httpStatus: 400, text: 'The fleet has services but no team.' },
  [ResultCode.SettingsFieldInvalid]: {
    httpStatus: 400,
    text: 'A field of the settings is missing, unknown or out of range.',
  },
  [ResultCode.SettingsNoRole]: {
    httpStatus: 400,
    text: 'The settings assign no role to the process.',
  },
  [ResultCode.SettingsPeerMissing]: {
    httpStatus: 400,
    text: 'A required process is missing from the list of peers.',
  },
  [ResultCode.SettingsNameRepeated]: { httpStatus: 400, text: 'Two peers have the same name.' },
  [ResultCode.SettingsSourceMissing]: {
    httpStatus: 400,
    text: 'The agent of a model engine has no weight store or no origin.',
  },
  [ResultCode.SettingsAddressRepeated]: {
    httpStatus: 400,
    text: 'Two listeners or peers have the same address.',
  },
  [ResultCode.SettingsPeerDiffers]: {
    httpStatus: 400,
    text: 'The list of peers describes this process differently from its own settings.',
  },
  [ResultCode.ProfileInvalid]: { httpStatus: 400, text: 'The profile file is invalid.' },
  [ResultCode.ProcessesUnreachable]: {
    httpStatus: 502,
    text: 'None of the named processes could be reached.',
  },
  [ResultCode.LogUnreadable]: { httpStatus: 400, text: 'The log file cannot be read.' },
  [ResultCode.OrderNotConfirmed]: {
    httpStatus: 504,
    text: 'The order was sent but not answered; it may still take effect.',
  },
  [ResultCode.ChunkNotHeld]: { httpStatus: 404, text: 'The agent does not hold the chunk.' },
  [ResultCode.ChunkCorrupt]: { httpStatus: 502, text: 'The chunk does not match its digest.' },
  [ResultCode.UploadsBusy]: { httpStatus: 503, text: 'All upload slots of the agent are in use.' },
  [ResultCode.OriginUnreachable]: { httpStatus: 502, text: 'The origin cannot be reached.' },
  [ResultCode.EngineRefusedOrder]: { httpStatus: 502, text: 'The engine refused an order.' },
  [ResultCode.WeightsIncomplete]: { httpStatus: 503, text: 'The weights are not complete.' },
  [ResultCode.ConnectionLost]: { httpStatus: 502, text: 'The connection to a process was lost.' },
  [ResultCode.CallTimedOut]: { httpStatus: 504, text: 'A process did not answer in time.' },
  [ResultCode.UnknownMessage]: {
    httpStatus: 501,
    text: 'The process has no handler for this kind of message.',
  },
  [ResultCode.MessageMalformed]: { httpStatus: 400, text: 'A message cannot be decoded.' },
};

/** Name of a result code as written in logs and JSON output. */
export function resultName(code: ResultCode): string {
  return ResultCode[code];
}
