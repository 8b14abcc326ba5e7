import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { ModelVersion } from './dialect.js';

/** A load of which it is not known that all chunks were sound when the engine took them. */
export interface LoadDoubt extends ModelVersion {
  /** Time of the first order that the engine may have followed, or at which the load was found. */
  readonly orderedAt: Milliseconds;
  /** True if a former agent ordered the load. */
  readonly isInherited: boolean;
  /** True once it can't be shown any more; only another load helps. */
  readonly isUnsound: boolean;
}

/** Loads of one incarnation of an engine that may not be served yet, or not at all. */
export interface LoadDoubts {
  /** A load is about to be ordered; returns the doubt of an earlier order. */
  ordered(load: ModelVersion, now: Milliseconds): LoadDoubt | null;
  /** A load that the engine already had, and for which nobody vouches. */
  inherited(load: ModelVersion, isUnsound: boolean, now: Milliseconds): void;
  /** The engine has not followed the latest order. */
  restore(load: ModelVersion, earlier: LoadDoubt | null): void;
  /** All chunks have been shown to be sound, or can't be any more. */
  settle(load: ModelVersion, isSound: boolean): void;
  of(load: ModelVersion): LoadDoubt | null;
  /** A load that can still be shown to be sound; `null` if there is none. */
  readonly unsettled: LoadDoubt | null;
  /** The engine has restarted without weights. */
  clear(): void;
}

const keyOf = ({ model, version }: ModelVersion): string => `${model} ${version}`;

/** Creates the record of an engine whose loads are all known to be sound. */
export function createLoadDoubts(): LoadDoubts {
  const doubts = new Map<string, LoadDoubt>();
  return {
    ordered: ({ model, version }, now) => {
      const key = keyOf({ model, version });
      const earlier = doubts.get(key) ?? null;
      const orderedAt = earlier?.isUnsound === false ? earlier.orderedAt : now;
      doubts.set(key, { model, version, orderedAt, isInherited: false, isUnsound: false });
      return earlier;
    },
    inherited: ({ model, version }, isUnsound, now) => {
      const doubt = { model, version, orderedAt: now, isInherited: true, isUnsound };
      doubts.set(keyOf(doubt), doubt);
    },
    restore: (load, earlier) => {
      if (earlier === null) doubts.delete(keyOf(load));
      else doubts.set(keyOf(load), earlier);
    },
    settle: (load, isSound) => {
      const doubt = doubts.get(keyOf(load));
      if (doubt === undefined) return;
      if (isSound) doubts.delete(keyOf(load));
      else doubts.set(keyOf(load), { ...doubt, isUnsound: true });
    },
    of: (load) => doubts.get(keyOf(load)) ?? null,
    get unsettled() {
      return [...doubts.values()].find(({ isUnsound }) => !isUnsound) ?? null;
    },
    clear: () => {
      doubts.clear();
    },
  };
}
