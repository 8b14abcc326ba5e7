import type { StoredAnswer } from '@burdockrail/protocol/protocolAttempt.js';
import type {
  ClaimedAttempt,
  ClaimKey,
  ClaimView,
  EpochMilliseconds,
} from '@burdockrail/protocol/protocolLedger.js';

/** State of one key. */
export type LedgerRecordState =
  /** Nothing has run; the next claim may be granted. */
  | { readonly kind: 'free' }
  | { readonly kind: 'open'; readonly attempt: ClaimedAttempt }
  | { readonly kind: 'finished'; readonly attemptId: string; readonly answer: StoredAnswer }
  | { readonly kind: 'unknown'; readonly attemptId: string };

/** What the ledger holds of one key. */
export interface LedgerRecord {
  readonly digest: string;
  readonly state: LedgerRecordState;
  /** Released attempts, so that a claim delivered twice does not open one of them again. */
  readonly released: readonly string[];
  /** When the key was last closed without a run; 0 for never. */
  readonly declinedAt: EpochMilliseconds;
  readonly changedAt: EpochMilliseconds;
}

/** Text form of a key. */
export function claimKeyText({ team, service, key }: ClaimKey): string {
  return JSON.stringify([team, service, key]);
}

/** Views of the states of a record. */
const viewers: {
  readonly [Kind in LedgerRecordState['kind']]: (
    state: Extract<LedgerRecordState, { readonly kind: Kind }>,
  ) => ClaimView;
} = {
  free: () => ({ kind: 'absent' }),
  open: ({ attempt }) => ({ kind: 'open', attempt }),
  finished: ({ answer }) => ({ kind: 'finished', answer }),
  unknown: () => ({ kind: 'unknown' }),
};

/** What others are told of a record. */
export function viewOf(record: LedgerRecord | undefined): ClaimView {
  if (record === undefined) return { kind: 'absent' };
  const viewer = viewers[record.state.kind] as (state: LedgerRecordState) => ClaimView;
  return viewer(record.state);
}
