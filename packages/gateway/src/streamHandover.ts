import type { GrantedSlot } from './entrySlots.js';
import type { RunningStream, StreamAttemptOutcome, StreamObserver } from './streamAttempt.js';

/** A stream that ended at one engine. */
export interface EndedStream {
  readonly slot: GrantedSlot;
  readonly outcome: StreamAttemptOutcome;
  /** Events that it delivered. */
  readonly events: number;
  /** True if no event had arrived for a while. */
  readonly wasSilent: boolean;
}

/** A stream that ended without a complete answer. */
export interface IncompleteStream extends EndedStream {
  readonly outcome: Exclude<StreamAttemptOutcome, { readonly kind: 'complete' }>;
}

/** Options of {@link runWithHandover}. */
export interface HandoverOptions {
  start(slot: GrantedSlot, observer: StreamObserver): RunningStream;
  /** Claims a slot of another engine; `null` if there is none. */
  claimSuccessor(): Promise<GrantedSlot | null>;
  /** Called right before a stream starts at a second engine; false releases the slot instead. */
  maySendAgain(): boolean;
  /** False for an event that the caller has received already. */
  isNew(id: number | null): boolean;
  readonly caller: Omit<StreamObserver, 'silent'>;
  /** A stream ended while another goes on. */
  ended(stream: IncompleteStream): void;
  /** A stream was given up, because another one delivered an event. */
  givenUp(stream: Omit<EndedStream, 'outcome'>): void;
}

interface LiveStream {
  readonly slot: GrantedSlot;
  running: RunningStream | null;
  events: number;
}

/**
 * Runs a stream at one engine and, while that engine is silent, at a second one; the first event
 * decides which of them goes on.
 *
 * @remarks
 * A silent engine is given up only for an event of another, since it may go on at any time and the
 * other may refuse, fail, fall silent too or state that no event follows.
 *
 * @returns the last stream that ended.
 */
export async function runWithHandover(
  firstSlot: GrantedSlot,
  options: HandoverOptions,
): Promise<EndedStream> {
  const live = new Set<LiveStream>();
  let isClaiming = false;
  /** A resumed stream that ended without an event; it counts unless another goes on. */
  let emptyEnd: EndedStream | null = null;

  return new Promise((resolve, reject) => {
    const describe = ({ slot, events, running }: LiveStream): Omit<EndedStream, 'outcome'> => ({
      slot,
      events,
      wasSilent: running?.isSilent === true,
    });

    const giveUpOthers = (winner: LiveStream): void => {
      for (const stream of [...live]) {
        if (stream === winner) continue;
        live.delete(stream);
        options.givenUp(describe(stream));
        stream.running?.abort();
      }
    };

    const handOver = async (silentStream: LiveStream): Promise<void> => {
      const isNeeded = (): boolean =>
        live.size === 1 && live.has(silentStream) && silentStream.running?.isSilent === true;
      if (isClaiming || !isNeeded()) return;
      isClaiming = true;
      const slot = await options.claimSuccessor().finally(() => {
        isClaiming = false;
      });
      if (slot === null) return;
      if (isNeeded() && options.maySendAgain()) launch(slot);
      else slot.release();
    };

    const fail = (error: unknown): void => {
      for (const { running } of live) running?.abort();
      live.clear();
      reject(error instanceof Error ? error : new Error(String(error)));
    };

    const launch = (slot: GrantedSlot): void => {
      const stream: LiveStream = { slot, running: null, events: 0 };
      live.add(stream);
      const running = options.start(slot, {
        head: options.caller.head,
        event: (bytes, id) => {
          if (!options.isNew(id)) return;
          giveUpOthers(stream);
          emptyEnd = null;
          stream.events += 1;
          options.caller.event(bytes, id);
        },
        flush: options.caller.flush,
        onDrain: options.caller.onDrain,
        silent: () => {
          handOver(stream).catch(fail);
        },
      });
      stream.running = running;
      running.outcome
        .then((outcome) => {
          if (!live.has(stream)) return;
          const ended = { ...describe(stream), outcome };
          if (outcome.kind === 'complete' && stream.events === 0 && live.size > 1) {
            live.delete(stream);
            emptyEnd = ended;
            options.givenUp(ended);
            return;
          }
          if (outcome.kind === 'complete') giveUpOthers(stream);
          live.delete(stream);
          const isLast = live.size === 0 && (emptyEnd === null || outcome.kind === 'complete');
          if (isLast) resolve(ended);
          else if (outcome.kind !== 'complete') options.ended({ ...ended, outcome });
          if (live.size === 0 && emptyEnd !== null) resolve(emptyEnd);
        })
        .catch(fail);
    };

    launch(firstSlot);
  });
}
