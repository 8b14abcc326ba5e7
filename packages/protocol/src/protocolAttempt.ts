import type { ResultCode, RunState } from '@burdockrail/common/resultCode.js';

/** Order of an entry to an agent to run one attempt of a request at its upstream. */
export interface AttemptStart {
  readonly attemptId: string;
  /** Incarnation that the claim names; absent for repeatable requests. */
  readonly agentIncarnation?: string;
  readonly service: string;
  readonly team: string;
  readonly priority: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Version digest that the answer must come from; absent when any live version will do. */
  readonly versionDigest?: string;
  /** Time left for the attempt, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

/** First item of an answer. */
export interface AttemptHead {
  readonly kind: 'head';
  readonly attemptId: string;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Digest of the weights that answer; absent for plain services. */
  readonly versionDigest?: string;
}

/** Bytes of the answer's body. */
export interface AttemptData {
  readonly kind: 'data';
  readonly attemptId: string;
  readonly bytes: Uint8Array;
}

/** The answer is whole; no item follows. */
export interface AttemptEnd {
  readonly kind: 'end';
  readonly attemptId: string;
}

/** The attempt failed; `run` is what the agent is sure of. */
export interface AttemptFailed {
  readonly kind: 'failed';
  readonly attemptId: string;
  readonly code: ResultCode;
  readonly run: RunState;
  readonly detail: string;
  /** True when the upstream process died while it ran the request. */
  readonly upstreamCrashed: boolean;
}

/** Items of an attempt's answer in their order: head, data..., end; or failed at any point. */
export type AttemptItem = AttemptHead | AttemptData | AttemptEnd | AttemptFailed;

/** Asks an agent to make sure that an attempt never starts, or to tell how far it went. */
export interface AttemptFence {
  readonly attemptId: string;
  readonly agentIncarnation: string;
}

/** A stored answer of a non-repeatable request. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Absent when the body was larger than what the ledger keeps. */
  readonly body?: Uint8Array;
}

/** Answer to {@link AttemptFence}. */
export type AttemptFenceReply =
  | { readonly kind: 'fenced' }
  | { readonly kind: 'running' }
  | { readonly kind: 'finished'; readonly answer: StoredAnswer }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'other-incarnation' };
