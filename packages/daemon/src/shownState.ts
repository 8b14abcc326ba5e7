import type { Replica } from '@burdockrail/agreement/replica.js';
import type { AnyReplicatedState } from '@burdockrail/agreement/replicaState.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/**
 * The committed state that a host shows.
 *
 * @remarks
 * A replica that starts again from its storage may know fewer entries as committed than before. Its
 * state is shown only when it has applied all that was shown before.
 */
export interface ShownState {
  /** Shows the state of a replica, unless a later state is shown. */
  offer(replica: Replica): void;
  /** Keeps what is known of the shown replica, which takes no further part in its group. */
  retire(now: Milliseconds): void;
  peek(query: unknown): unknown;
  /** Time since the shown state was last confirmed to be up to date, in milliseconds. */
  confirmedAge(now: Milliseconds): Milliseconds;
}

function isBehind(replica: Replica, shown: Replica): boolean {
  const [next, current] = [replica.status(), shown.status()];
  if (next.groupId !== current.groupId) return next.groupId === null;
  return next.appliedIndex < current.appliedIndex;
}

/** Creates a shown state that is empty at first. */
export function createShownState(emptyState: AnyReplicatedState): ShownState {
  let shown: Replica | null = null;
  let isRetired = false;
  let confirmedAt = Number.NEGATIVE_INFINITY;
  return {
    offer: (replica) => {
      if (shown === replica || (shown !== null && isBehind(replica, shown))) return;
      shown = replica;
      isRetired = false;
    },
    retire: (now) => {
      if (shown === null || isRetired) return;
      confirmedAt = Math.max(confirmedAt, now - shown.confirmedAge(now));
      isRetired = true;
    },
    peek: (query) => (shown === null ? emptyState.query(query) : shown.peek(query)),
    confirmedAge: (now) => {
      const age = now - confirmedAt;
      return shown === null || isRetired ? age : Math.min(age, shown.confirmedAge(now));
    },
  };
}
