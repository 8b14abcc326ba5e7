import { createSeededRandom } from '@burdockrail/common/seededRandom.js';

/** What every fault has besides its kind. */
export interface FaultBase {
  readonly kind: string;
  /** How often the fault still strikes; without a number, until it is cleared. */
  readonly times?: number;
  /** Chance that it strikes when it could, 0 to 1; 1 when absent. */
  readonly share?: number;
}

/** Faults that a stand-in has been asked for. */
export interface FaultSet<Fault extends FaultBase> {
  /** Replaces all faults. */
  replace(faults: readonly Fault[]): void;
  /** The first fault of the kind that strikes now; counts down its `times`. */
  take<Kind extends Fault['kind']>(
    kind: Kind,
    applies?: (fault: Extract<Fault, { readonly kind: Kind }>) => boolean,
  ): Extract<Fault, { readonly kind: Kind }> | undefined;
}

const DEFAULT_SEED = 1;

/** Creates a set without faults. */
export function createFaultSet<Fault extends FaultBase>(seed = DEFAULT_SEED): FaultSet<Fault> {
  const random = createSeededRandom(seed);
  let entries: { readonly fault: Fault; left: number }[] = [];
  return {
    replace: (faults) => {
      entries = faults.map((fault) => ({ fault, left: fault.times ?? Infinity }));
    },
    take: <Kind extends Fault['kind']>(
      kind: Kind,
      applies?: (fault: Extract<Fault, { readonly kind: Kind }>) => boolean,
    ) => {
      for (const entry of entries) {
        if (entry.fault.kind !== kind || entry.left <= 0) continue;
        const fault = entry.fault as Extract<Fault, { readonly kind: Kind }>;
        if (applies !== undefined && !applies(fault)) continue;
        if (fault.share !== undefined && random.next() >= fault.share) continue;
        entry.left -= 1;
        return fault;
      }
      return undefined;
    },
  };
}
