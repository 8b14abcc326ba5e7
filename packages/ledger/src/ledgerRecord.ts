import type { StoredAnswer } from '@burdockrail/protocol/protocolAttempt.js';
import type {
  ClaimedAttempt,
  ClaimKey,
  ClaimView,
  EpochMilliseconds,
} from '@burdockrail/protocol/protocolLedger.js';

/** State of one key. */
export type LedgerRecordState =
  /** No claim is held and nothing has run, so the next claim may be granted. */
  | { readonly kind: 'free' }
  | { readonly kind: 'open'; readonly attempt: ClaimedAttempt }
  | { readonly kind: 'finished'; readonly attemptId: string; readonly answer: StoredAnswer }
  | { readonly kind: 'unknown'; readonly attemptId: string };

/** Ledger record of one key. */
export interface LedgerRecord {
  readonly digest: string;
  readonly state: LedgerRecordState;
  /** Released attempts, so that a duplicate claim command does not reopen one of them. */
  readonly released: readonly string[];
  /** When the key was last declined; 0 if never. */
  readonly declinedAt: EpochMilliseconds;
  readonly changedAt: EpochMilliseconds;
}

/** Serializes a key for use in a map. */
export function claimKeyText({ team, service, key }: ClaimKey): string {
  return JSON.stringify([team, service, key]);
}

const claimViews: {
  readonly [Kind in LedgerRecordState['kind']]: (
    state: Extract<LedgerRecordState, { readonly kind: Kind }>,
  ) => ClaimView;
} = {
  free: () => ({ kind: 'absent' }),
  open: ({ attempt }) => ({ kind: 'open', attempt }),
  finished: ({ answer }) => ({ kind: 'finished', answer }),
  unknown: () => ({ kind: 'unknown' }),
};

/** Public view of a record. */
export function claimViewOf(record: LedgerRecord | undefined): ClaimView {
  if (record === undefined) return { kind: 'absent' };
  const toView = claimViews[record.state.kind] as (state: LedgerRecordState) => ClaimView;
  return toView(record.state);
}
