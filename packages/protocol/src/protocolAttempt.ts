import type { ResultCode, RunState } from '@burdockrail/common/resultCode.js';

/** Asks an agent to run one attempt of a request at its upstream. */
export interface AttemptStart {
  readonly attemptId: string;
  /** Agent incarnation bound by the claim; absent for repeatable requests. */
  readonly agentIncarnation?: string;
  readonly service: string;
  readonly team: string;
  readonly priority: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Digest of the weights that must answer; absent if any live version may. */
  readonly versionDigest?: string;
  /** Remaining time for the attempt, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

/** Status and headers; the first item of an answer. */
export interface AttemptHead {
  readonly kind: 'head';
  readonly attemptId: string;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Digest of the weights that answer; absent for plain services. */
  readonly versionDigest?: string;
}

/** Part of the answer's body. */
export interface AttemptData {
  readonly kind: 'data';
  readonly attemptId: string;
  readonly bytes: Uint8Array;
}

/** The answer is complete; no item follows. */
export interface AttemptEnd {
  readonly kind: 'end';
  readonly attemptId: string;
}

/** The attempt failed; `run` tells whether it ran, as far as the agent can be certain. */
export interface AttemptFailed {
  readonly kind: 'failed';
  readonly attemptId: string;
  readonly code: ResultCode;
  readonly run: RunState;
  readonly detail: string;
  /** True if the upstream process died while it ran the request. */
  readonly upstreamCrashed: boolean;
}

/** Items of an attempt's answer, in order: head, data..., end; or failed at any point. */
export type AttemptItem = AttemptHead | AttemptData | AttemptEnd | AttemptFailed;

/** Asks an agent to fence an attempt so that it never starts, or else to report its progress. */
export interface AttemptFence {
  readonly attemptId: string;
  readonly agentIncarnation: string;
}

/** The stored answer to a non-repeatable request. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Absent if the body exceeded the size limit of the ledger. */
  readonly body?: Uint8Array;
}

/** Answer to {@link AttemptFence}. */
export type AttemptFenceReply =
  | { readonly kind: 'fenced' }
  | { readonly kind: 'running' }
  | { readonly kind: 'finished'; readonly answer: StoredAnswer }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'other-incarnation' };
