import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { Route, TeamKeys } from '@burdockrail/routing/routeConfiguration.js';
import { chooseService, type RouteTable } from '@burdockrail/routing/routeTable.js';

/** A refusal by the entry itself; no upstream has executed the request. */
export interface Refusal {
  readonly code: ResultCode;
  readonly detail: string;
  /** Time after which the caller may retry, in milliseconds; `null` if retrying is useless. */
  readonly retryAfterMilliseconds: number | null;
}

/** Refusal of requests to an entry that has stopped listening; others serve them at once. */
export const drainingRefusal: Refusal = {
  code: ResultCode.Draining,
  detail: 'the entry has stopped listening',
  retryAfterMilliseconds: 0,
};

/** A request that passed admission, with its route and deadline. */
export interface AdmittedRequest {
  readonly route: Route;
  readonly service: string;
  readonly team: TeamKeys | null;
  /** Time by which the caller must have its final answer. */
  readonly deadline: Milliseconds;
}

/** Input of {@link admitRequest}. */
export interface AdmissionInput {
  readonly table: RouteTable | null;
  /** Time up to which all committed changes are known here. */
  readonly confirmedAt: Milliseconds;
  /** Age of `confirmedAt` beyond which keys are rejected, in milliseconds. */
  readonly maximumKeyAgeMilliseconds: number;
  readonly host: string;
  readonly target: string;
  readonly key: string | null;
  readonly requestId: string | null;
  readonly deadlineMilliseconds: number | null;
  readonly arrivedAt: Milliseconds;
  /** Random number in [0, 1) that selects one of the route's services. */
  readonly randomDraw: number;
}

/**
 * Retry delay while this entry waits for a configuration or a confirmation, in milliseconds: about
 * the time in which the control group elects a new leader.
 */
const UNCONFIRMED_RETRY_AFTER_MILLISECONDS = 1_500;

function refusal(code: ResultCode, detail: string, retryAfterMilliseconds: number | null): Refusal {
  return { code, detail, retryAfterMilliseconds };
}

/** Decides whether the configuration admits a request, and selects its service. */
export function admitRequest(input: AdmissionInput, now: Milliseconds): AdmittedRequest | Refusal {
  const { table, host, target, key } = input;
  if (table === null) {
    return refusal(
      ResultCode.GroupNotFormed,
      'no configuration has been received yet',
      UNCONFIRMED_RETRY_AFTER_MILLISECONDS,
    );
  }
  const route = table.match(host, target);
  if (route === undefined) return refusal(ResultCode.UnknownService, 'no route matches', null);
  if (input.requestId === null) {
    return refusal(ResultCode.BadRequest, 'the request has no id', null);
  }
  const requiresKey = !route.open && table.configuration.teams.length > 0;
  const team = key === null ? undefined : table.teamOf(key);
  if (requiresKey && now - input.confirmedAt > input.maximumKeyAgeMilliseconds) {
    return refusal(
      ResultCode.KeysOutdated,
      'the keys may be out of date',
      UNCONFIRMED_RETRY_AFTER_MILLISECONDS,
    );
  }
  if (requiresKey && team === undefined) {
    return refusal(ResultCode.KeyUnknown, 'the key belongs to no team', null);
  }
  const callerTimeoutMilliseconds = input.deadlineMilliseconds ?? Number.POSITIVE_INFINITY;
  return {
    route,
    service: chooseService(route, input.randomDraw),
    team: team ?? null,
    deadline: input.arrivedAt + Math.min(callerTimeoutMilliseconds, route.timeoutMilliseconds),
  };
}

/** Type guard for {@link Refusal}. */
export function isRefusal(decision: AdmittedRequest | Refusal): decision is Refusal {
  return 'code' in decision;
}
