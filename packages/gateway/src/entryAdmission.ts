import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { Route, TeamKeys } from '@burdockrail/routing/routeConfiguration.js';
import { chooseService, type RouteTable } from '@burdockrail/routing/routeTable.js';

/** An answer that the entry gives itself; the request has not run. */
export interface Refusal {
  readonly code: ResultCode;
  readonly detail: string;
  /** Time after which the caller should come back, in milliseconds; `null` for never. */
  readonly retryAfterMilliseconds: number | null;
}

/** What a request needs to go on. */
export interface AdmittedRequest {
  readonly route: Route;
  readonly service: string;
  readonly team: TeamKeys | null;
  /** Time by which the caller has to have its final answer. */
  readonly deadline: Milliseconds;
}

/** What the admission of a request depends on. */
export interface AdmissionQuestion {
  readonly table: RouteTable | null;
  /** Time up to which everything committed is known. */
  readonly confirmedAt: Milliseconds;
  /** Age of that knowledge beyond which keys are not believed any more, in milliseconds. */
  readonly keyBoundMilliseconds: number;
  readonly host: string;
  readonly target: string;
  readonly key: string | null;
  readonly requestId: string | null;
  readonly deadlineMilliseconds: number | null;
  readonly arrivedAt: Milliseconds;
  /** Number in [0, 1) that decides between the services of a route. */
  readonly draw: number;
}

/**
 * Time to come back while this entry waits for a configuration or a confirmation, in milliseconds:
 * about that in which a group that lost its leader has another.
 */
const UNCONFIGURED_RETRY_MILLISECONDS = 1_500;

function refusal(code: ResultCode, detail: string, retryAfterMilliseconds: number | null): Refusal {
  return { code, detail, retryAfterMilliseconds };
}

/** Decides whether the configuration lets a request in, and where it goes. */
export function admitRequest(
  question: AdmissionQuestion,
  now: Milliseconds,
): AdmittedRequest | Refusal {
  const { table, host, target, key } = question;
  if (table === null) {
    return refusal(
      ResultCode.GroupNotFormed,
      'no configuration is known yet',
      UNCONFIGURED_RETRY_MILLISECONDS,
    );
  }
  const route = table.match(host, target);
  if (route === undefined) return refusal(ResultCode.UnknownService, 'no route matches', null);
  if (question.requestId === null) {
    return refusal(ResultCode.BadRequest, 'the request has no id', null);
  }
  const needsKey = !route.open && table.configuration.teams.length > 0;
  const team = key === null ? undefined : table.teamOf(key);
  if (needsKey && now - question.confirmedAt > question.keyBoundMilliseconds) {
    return refusal(
      ResultCode.KeysOutdated,
      'the keys may be out of date',
      UNCONFIGURED_RETRY_MILLISECONDS,
    );
  }
  if (needsKey && team === undefined) {
    return refusal(ResultCode.KeyUnknown, 'no team has the key', null);
  }
  const callerBound = question.deadlineMilliseconds ?? Number.POSITIVE_INFINITY;
  return {
    route,
    service: chooseService(route, question.draw),
    team: team ?? null,
    deadline: question.arrivedAt + Math.min(callerBound, route.timeoutMilliseconds),
  };
}

/** Tells a refusal from an admitted request. */
export function isRefusal(decision: AdmittedRequest | Refusal): decision is Refusal {
  return 'code' in decision;
}
