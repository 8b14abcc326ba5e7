import { rendezvousOrder } from '@burdockrail/common/rendezvousHash.js';
import { REGISTRARS_PER_AGENT } from './membershipTiming.js';

/** An entry that can be chosen as registrar. */
export interface RegistrarCandidate {
  readonly name: string;
  readonly dataCentre: string;
}

/**
 * Chooses the entries that an agent announces itself to, by rendezvous hashing.
 *
 * @remarks
 * Entries that failed recently come last, so that an agent replaces a failed registrar at its next
 * announcement. Without an entry in its own data centre an agent uses those of the others.
 */
export function chooseRegistrars<Candidate extends RegistrarCandidate>(
  agent: string,
  dataCentre: string,
  entries: readonly Candidate[],
  failed: ReadonlySet<string>,
): readonly Candidate[] {
  const local = entries.filter((entry) => entry.dataCentre === dataCentre);
  const ordered = rendezvousOrder(agent, local.length > 0 ? local : entries, (entry) => entry.name);
  const healthy = ordered.filter((entry) => !failed.has(entry.name));
  const recentlyFailed = ordered.filter((entry) => failed.has(entry.name));
  return [...healthy, ...recentlyFailed].slice(0, REGISTRARS_PER_AGENT);
}
