import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/**
 * Time after a write without an answer in which the engine may still carry it out, in milliseconds:
 * longer than an engine stands still without being given up.
 */
const LATE_WRITE_MILLISECONDS = 10_000;

/** A write of one chunk that is in progress. */
export interface StagingWrite {
  /** The engine has answered. */
  answered(): void;
  /** No answer came, so that the engine may carry it out later. */
  lost(now: Milliseconds): void;
}

/** Writes of all versions into the staging of one engine, which has one place for each chunk. */
export interface StagingWrites {
  begin(version: number, chunk: number, now: Milliseconds): StagingWrite;
  /** Resolves when no write of another version is in progress. */
  othersEnded(version: number): Promise<void>;
  /** True if a write has begun at or after a time. */
  hasBegunSince(at: Milliseconds): boolean;
  /** True if a write of another version may still replace a chunk. */
  mayBeReplaced(version: number, chunk: number, now: Milliseconds): boolean;
  /** True if a write of this version to a chunk may still land, and so mend it. */
  mayBeMended(version: number, chunk: number, now: Milliseconds): boolean;
}

interface LostWrite {
  readonly version: number;
  readonly chunk: number;
  readonly lostAt: Milliseconds;
}

/** Creates the record of a staging to which nothing has been written. */
export function createStagingWrites(): StagingWrites {
  const inProgress = new Map<Promise<void>, number>();
  let latestAt = Number.NEGATIVE_INFINITY;
  let lost: readonly LostWrite[] = [];
  const mayLand = (write: LostWrite, chunk: number, now: Milliseconds): boolean =>
    write.chunk === chunk && now - write.lostAt < LATE_WRITE_MILLISECONDS;
  return {
    begin: (version, chunk, now) => {
      latestAt = Math.max(latestAt, now);
      let resolveEnd: () => void = () => undefined;
      const end = new Promise<void>((resolve) => {
        resolveEnd = resolve;
      });
      inProgress.set(end, version);
      const finish = (): void => {
        inProgress.delete(end);
        resolveEnd();
      };
      return {
        answered: finish,
        lost: (lostAt) => {
          const recent = lost.filter((write) => lostAt - write.lostAt < LATE_WRITE_MILLISECONDS);
          lost = [...recent, { version, chunk, lostAt }];
          finish();
        },
      };
    },
    othersEnded: async (version) => {
      const others = [...inProgress].filter(([, writer]) => writer !== version);
      await Promise.all(others.map(async ([end]) => end));
    },
    hasBegunSince: (at) => latestAt >= at,
    mayBeReplaced: (version, chunk, now) =>
      lost.some((write) => write.version !== version && mayLand(write, chunk, now)),
    mayBeMended: (version, chunk, now) =>
      lost.some((write) => write.version === version && mayLand(write, chunk, now)),
  };
}
