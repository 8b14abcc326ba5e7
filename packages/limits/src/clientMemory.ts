import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Time without progress after which what a client makes a process hold is given up first, in milliseconds. */
const STALLED_MILLISECONDS = 1_000;

/** Memory that one exchange with a client takes. */
export interface ClientAccount {
  readonly heldBytes: number;
  /**
   * Reserves bytes. Where the memory of all clients is used up, other exchanges are evicted: those
   * without progress first, then larger ones. False, and nothing reserved, if that doesn't make room.
   */
  tryReserve(bytes: number, now: Milliseconds): boolean;
  /**
   * Reserves bytes that are already held, and evicts as long as more is held than allowed: also
   * this exchange, if it can be.
   */
  reserve(bytes: number, now: Milliseconds): void;
  release(bytes: number): void;
  /** The client has sent or read something. */
  progressed(now: Milliseconds): void;
  /** Sets what gives the exchange up and releases its memory; `null` while it can't be given up. */
  setEviction(evict: (() => void) | null): void;
  /** Releases everything. */
  close(): void;
}

/** Memory that all clients of a process share. */
export interface ClientMemory {
  readonly maximumBytes: number;
  readonly heldBytes: number;
  open(now: Milliseconds): ClientAccount;
}

interface AccountState {
  heldBytes: number;
  progressedAt: Milliseconds;
  evict: (() => void) | null;
}

/**
 * Creates the memory, unused.
 *
 * @remarks
 * A bound for each request alone does not bound the process, since clients may send any number of
 * requests. Small requests are let in while large ones are held: who holds most makes room.
 */
export function createClientMemory(maximumBytes: number): ClientMemory {
  const accounts = new Set<AccountState>();
  let heldBytes = 0;

  const isStalled = (account: AccountState, now: Milliseconds): boolean =>
    now - account.progressedAt >= STALLED_MILLISECONDS;

  /** Finds what is given up next: stalled before others, larger before smaller. */
  const findVictim = (
    now: Milliseconds,
    mayEvict: (account: AccountState) => boolean,
  ): AccountState | undefined => {
    let victim: AccountState | undefined;
    for (const account of accounts) {
      if (account.evict === null || account.heldBytes === 0 || !mayEvict(account)) continue;
      const difference =
        Number(isStalled(account, now)) - Number(victim !== undefined && isStalled(victim, now));
      const isFirst =
        victim === undefined ||
        difference > 0 ||
        (difference === 0 && account.heldBytes > victim.heldBytes);
      if (isFirst) victim = account;
    }
    return victim;
  };

  const setHeld = (account: AccountState, bytes: number): void => {
    heldBytes += bytes - account.heldBytes;
    account.heldBytes = bytes;
  };

  const evict = (account: AccountState): void => {
    const { evict: giveUp } = account;
    account.evict = null;
    setHeld(account, 0);
    accounts.delete(account);
    giveUp?.();
  };

  return {
    maximumBytes,
    get heldBytes() {
      return heldBytes;
    },
    open: (openedAt) => {
      const state: AccountState = { heldBytes: 0, progressedAt: openedAt, evict: null };
      accounts.add(state);
      const isOpen = (): boolean => accounts.has(state);
      return {
        get heldBytes() {
          return state.heldBytes;
        },
        tryReserve: (bytes, now) => {
          const needed = state.heldBytes + bytes;
          while (isOpen() && heldBytes + bytes > maximumBytes) {
            const victim = findVictim(
              now,
              (account) =>
                account !== state && (isStalled(account, now) || account.heldBytes > needed),
            );
            if (victim === undefined) return false;
            evict(victim);
          }
          if (!isOpen()) return false;
          setHeld(state, needed);
          return true;
        },
        reserve: (bytes, now) => {
          if (!isOpen()) return;
          setHeld(state, state.heldBytes + bytes);
          while (heldBytes > maximumBytes) {
            const victim = findVictim(now, () => true);
            if (victim === undefined) return;
            evict(victim);
          }
        },
        release: (bytes) => {
          if (isOpen()) setHeld(state, Math.max(0, state.heldBytes - bytes));
        },
        progressed: (now) => {
          state.progressedAt = now;
        },
        setEviction: (giveUp) => {
          state.evict = giveUp;
        },
        close: () => {
          setHeld(state, 0);
          accounts.delete(state);
        },
      };
    },
  };
}
