import type {
  HeldModel,
  LoadVerdicts,
  UpstreamRecord,
} from '@burdockrail/protocol/protocolDirectory.js';

function settledLoads({ sound, unsound }: LoadVerdicts): number {
  return sound.length + unsound.length;
}

/**
 * Returns the verdicts that hold of two on the same upstream; the first if both are alike.
 *
 * @remarks
 * Within an incarnation later orders count more, and then the verdicts that leave less in doubt, since
 * a load doesn't change without an order.
 *
 * @param startedAt - start of the incarnation that the upstream's record names; `null` without one.
 */
export function prevailingVerdicts(
  known: LoadVerdicts | undefined,
  next: LoadVerdicts,
  startedAt: number | null,
): LoadVerdicts {
  if (known === undefined) return next;
  if (known.startedAt !== next.startedAt) {
    if (known.startedAt === startedAt) return known;
    if (next.startedAt === startedAt) return next;
    return known.startedAt > next.startedAt ? known : next;
  }
  if (known.orders !== next.orders) return known.orders > next.orders ? known : next;
  return settledLoads(next) > settledLoads(known) ? next : known;
}

/** Tells whether a list names a load. */
export function listsLoad(loads: readonly HeldModel[], { model, version }: HeldModel): boolean {
  return loads.some((load) => load.model === model && load.version === version);
}

/** Tells whether the agent of an upstream has vouched for a load of the upstream's incarnation. */
export function isVouchedLoad({ loads, startedAt }: UpstreamRecord, load: HeldModel): boolean {
  return loads?.startedAt === startedAt && listsLoad(loads.sound, load);
}
