import type { Role } from '@burdockrail/protocol/protocolAddress.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import type { System } from '@burdockrail/harness/system.js';

const MILLISECONDS_PER_SECOND = 1_000;
const roleNames = ['entry', 'control', 'agent'] as const;

/** Resource use of one role over a period, as a mean over its processes. */
export interface RoleCosts {
  /** CPU use as a share of one core. */
  readonly cores: number;
  readonly residentBytes: number;
  /** Bytes per second sent to other processes, by message family. */
  readonly sentByFamily: Readonly<Record<string, number>>;
}

/** Resource use by role over a period. */
export interface PeriodCosts {
  readonly seconds: number;
  readonly roles: Readonly<Partial<Record<Role, RoleCosts>>>;
}

interface ProcessReading {
  readonly role: Role;
  readonly processorMilliseconds: number;
  readonly residentBytes: number;
  readonly sentByFamily: Readonly<Record<string, number>>;
}

interface SystemReading {
  readonly at: number;
  readonly processes: ReadonlyMap<string, ProcessReading>;
}

async function takeReading(system: System): Promise<SystemReading> {
  const processes = new Map<string, ProcessReading>();
  await Promise.all(
    system.machines.map(async ({ name, advertise, roles }) => {
      const status = await system.operator.status(advertise);
      processes.set(name, {
        role: roles[0] ?? 'agent',
        processorMilliseconds: status.processorMilliseconds,
        residentBytes: status.residentBytes,
        sentByFamily: status.sentBytesByFamily,
      });
    }),
  );
  return { at: monotonicClock.now(), processes };
}

interface ReadingPair {
  readonly start: ProcessReading;
  readonly end: ProcessReading;
}

function pairsOf(role: Role, before: SystemReading, after: SystemReading): readonly ReadingPair[] {
  const pairs: ReadingPair[] = [];
  for (const [name, end] of after.processes) {
    const start = before.processes.get(name);
    if (end.role === role && start !== undefined) pairs.push({ start, end });
  }
  return pairs;
}

function meanOf(pairs: readonly ReadingPair[], value: (pair: ReadingPair) => number): number {
  return pairs.reduce((sum, pair) => sum + value(pair), 0) / pairs.length;
}

function costsOf(pairs: readonly ReadingPair[], seconds: number): RoleCosts {
  const families = new Set(pairs.flatMap(({ end }) => Object.keys(end.sentByFamily)));
  const sent = [...families].map((family) => {
    const increase = ({ start, end }: ReadingPair): number =>
      (end.sentByFamily[family] ?? 0) - (start.sentByFamily[family] ?? 0);
    return [family, meanOf(pairs, increase) / seconds] as const;
  });
  const processorMilliseconds = meanOf(
    pairs,
    ({ start, end }) => end.processorMilliseconds - start.processorMilliseconds,
  );
  return {
    cores: processorMilliseconds / (seconds * MILLISECONDS_PER_SECOND),
    residentBytes: meanOf(pairs, ({ end }) => end.residentBytes),
    sentByFamily: Object.fromEntries(sent),
  };
}

/** Measures each role's resource use while `body` runs. */
export async function measurePeriod(
  system: System,
  body: () => Promise<void>,
): Promise<PeriodCosts> {
  const before = await takeReading(system);
  await body();
  const after = await takeReading(system);
  const seconds = (after.at - before.at) / MILLISECONDS_PER_SECOND;
  const roles: Partial<Record<Role, RoleCosts>> = {};
  for (const role of roleNames) {
    const pairs = pairsOf(role, before, after);
    if (pairs.length > 0) roles[role] = costsOf(pairs, seconds);
  }
  return { seconds, roles };
}
