import { rendezvousOrder } from '@burdockrail/common/rendezvousHash.js';
import { REGISTRARS_PER_AGENT } from './membershipTiming.js';

/** An entry as a possible registrar. */
export interface RegistrarCandidate {
  readonly name: string;
  readonly dataCentre: string;
}

/**
 * Chooses the entries that an agent announces itself to.
 *
 * @remarks
 * Entries that failed lately come last, so that an agent leaves a dead registrar at its next
 * announcement. With no entry in its own data centre an agent uses those of the others.
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
  const doubtful = ordered.filter((entry) => failed.has(entry.name));
  return [...healthy, ...doubtful].slice(0, REGISTRARS_PER_AGENT);
}
