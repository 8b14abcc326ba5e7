import { cpus } from 'node:os';
import type { Role } from '@burdockrail/protocol/protocolAddress.js';
import type { System } from '@burdockrail/harness/system.js';
import { processorMilliseconds } from '@burdockrail/standins/standinMain.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Means over the processes of one role. */
export interface RoleUsage {
  readonly processes: number;
  /** Share of one core. */
  readonly cores: number;
  readonly residentBytes: number;
  /** Bytes a second that a machine of the role sends over links, weights among them. */
  readonly sentBytesPerSecond: number;
  /** Bytes a second that a process of the role sends for control, by its own count. */
  readonly controlBytesPerSecond: number;
  /** Bytes a second that a process of the role sends, by family of message. */
  readonly bytesPerSecondByFamily: Readonly<Record<string, number>>;
}

/** Use of the machine in one period. */
export interface UsageReport {
  readonly roles: Readonly<Partial<Record<Role, RoleUsage>>>;
  /** Cores that the measurement itself used: proxy, stand-ins, and the load with this process. */
  readonly benchCores: {
    readonly proxy: number;
    readonly standins: number;
    readonly load: number;
  };
  /** Share of all cores that were busy, with whatever else runs. */
  readonly machineBusy: number;
}

interface ProcessSample {
  readonly role: Role;
  readonly processorMilliseconds: number;
  readonly residentBytes: number;
  readonly sentBytes: number;
  readonly controlBytes: number;
  readonly families: Readonly<Record<string, number>>;
}

interface UsageSample {
  readonly at: number;
  readonly processes: ReadonlyMap<string, ProcessSample>;
  readonly proxyMilliseconds: number;
  readonly standinMilliseconds: number;
  readonly ownMilliseconds: number;
  readonly busyMilliseconds: number;
  readonly totalMilliseconds: number;
}

function processorTimes(): { readonly busy: number; readonly total: number } {
  let busy = 0;
  let total = 0;
  for (const { times } of cpus()) {
    const active = times.user + times.nice + times.sys + times.irq;
    busy += active;
    total += active + times.idle;
  }
  return { busy, total };
}

async function takeSample(system: System): Promise<UsageSample> {
  const links = await system.links.counts();
  const processes = new Map<string, ProcessSample>();
  const sample = async (name: string, role: Role): Promise<void> => {
    const status = await system.operator.status(system.machine(name).advertise).catch(() => null);
    if (status === null) return;
    processes.set(name, {
      role,
      processorMilliseconds: status.processorMilliseconds,
      residentBytes: status.residentBytes,
      sentBytes: links.sentByMachine[name] ?? 0,
      controlBytes: status.controlBytesSent,
      families: status.sentBytesByFamily,
    });
  };
  const running = system.machines.filter(({ name }) => system.processes.process(name).running);
  await Promise.all(running.map(async ({ name, roles }) => sample(name, roles[0] ?? 'agent')));
  const times = processorTimes();
  return {
    at: monotonicClock.now(),
    processes,
    proxyMilliseconds: links.processorMilliseconds,
    standinMilliseconds: await system.standinProcessorMilliseconds(),
    ownMilliseconds: processorMilliseconds(),
    busyMilliseconds: times.busy,
    totalMilliseconds: times.total,
  };
}

function roleUsage(
  role: Role,
  before: UsageSample,
  after: UsageSample,
  elapsed: number,
): RoleUsage | undefined {
  let processes = 0;
  let processor = 0;
  let resident = 0;
  let sent = 0;
  let control = 0;
  const families: Record<string, number> = {};
  for (const [name, end] of after.processes) {
    const start = before.processes.get(name);
    if (end.role !== role || start === undefined) continue;
    processes += 1;
    processor += end.processorMilliseconds - start.processorMilliseconds;
    resident += end.residentBytes;
    sent += end.sentBytes - start.sentBytes;
    control += end.controlBytes - start.controlBytes;
    for (const [family, bytes] of Object.entries(end.families)) {
      families[family] = (families[family] ?? 0) + bytes - (start.families[family] ?? 0);
    }
  }
  if (processes === 0) return undefined;
  const perSecond = (bytes: number): number =>
    (bytes / elapsed / processes) * MILLISECONDS_PER_SECOND;
  const byFamily = Object.entries(families).map(([family, bytes]) => [family, perSecond(bytes)]);
  return {
    processes,
    cores: processor / elapsed / processes,
    residentBytes: resident / processes,
    sentBytesPerSecond: perSecond(sent),
    controlBytesPerSecond: perSecond(control),
    bytesPerSecondByFamily: Object.fromEntries(byFamily) as Record<string, number>,
  };
}

function compare(before: UsageSample, after: UsageSample): UsageReport {
  const elapsed = after.at - before.at;
  const roles: Partial<Record<Role, RoleUsage>> = {};
  for (const role of ['entry', 'control', 'agent'] as const) {
    const usage = roleUsage(role, before, after, elapsed);
    if (usage !== undefined) roles[role] = usage;
  }
  const total = after.totalMilliseconds - before.totalMilliseconds;
  return {
    roles,
    benchCores: {
      proxy: (after.proxyMilliseconds - before.proxyMilliseconds) / elapsed,
      standins: (after.standinMilliseconds - before.standinMilliseconds) / elapsed,
      load: (after.ownMilliseconds - before.ownMilliseconds) / elapsed,
    },
    machineBusy: total === 0 ? 0 : (after.busyMilliseconds - before.busyMilliseconds) / total,
  };
}

/** Begins a period; the result ends it and reports. */
export async function startUsage(system: System): Promise<() => Promise<UsageReport>> {
  const before = await takeSample(system);
  return async () => compare(before, await takeSample(system));
}
