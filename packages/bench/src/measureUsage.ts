import { cpus } from 'node:os';
import type { Role } from '@burdockrail/protocol/protocolAddress.js';
import type { System } from '@burdockrail/harness/system.js';
import { processorMilliseconds } from '@burdockrail/standins/standinMain.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Resource use of one role, as means over its processes. */
export interface RoleUsage {
  readonly processes: number;
  /** CPU use as a share of one core. */
  readonly cores: number;
  readonly residentBytes: number;
  /** Bytes per second that a machine of the role sends over links, including weights. */
  readonly sentBytesPerSecond: number;
  /** Bytes per second of control messages that a process of the role sends, as it reports. */
  readonly controlBytesPerSecond: number;
  /** Bytes per second that a process of the role sends, by message family. */
  readonly bytesPerSecondByFamily: Readonly<Record<string, number>>;
}

/** Resource use in one period. */
export interface UsageReport {
  readonly roles: Readonly<Partial<Record<Role, RoleUsage>>>;
  /** Cores used by the measurement itself; `load` is this process. */
  readonly benchCores: {
    readonly proxy: number;
    readonly standins: number;
    readonly load: number;
  };
  /** Busy share of all cores of the machine, including unrelated processes. */
  readonly busyShare: number;
}

interface ProcessSample {
  readonly role: Role;
  readonly processorMilliseconds: number;
  readonly residentBytes: number;
  readonly sentBytes: number;
  readonly controlBytes: number;
  readonly sentBytesByFamily: Readonly<Record<string, number>>;
}

interface UsageSample {
  readonly at: number;
  readonly processes: ReadonlyMap<string, ProcessSample>;
  readonly proxyProcessorMilliseconds: number;
  readonly standinProcessorMilliseconds: number;
  readonly loadProcessorMilliseconds: number;
  readonly busyMilliseconds: number;
  readonly totalMilliseconds: number;
}

function readProcessorTimes(): { readonly busy: number; readonly total: number } {
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
      sentBytesByFamily: status.sentBytesByFamily,
    });
  };
  const running = system.machines.filter(({ name }) => system.processes.process(name).running);
  await Promise.all(running.map(async ({ name, roles }) => sample(name, roles[0] ?? 'agent')));
  const times = readProcessorTimes();
  return {
    at: monotonicClock.now(),
    processes,
    proxyProcessorMilliseconds: links.processorMilliseconds,
    standinProcessorMilliseconds: await system.standinProcessorMilliseconds(),
    loadProcessorMilliseconds: processorMilliseconds(),
    busyMilliseconds: times.busy,
    totalMilliseconds: times.total,
  };
}

function roleUsage(
  role: Role,
  before: UsageSample,
  after: UsageSample,
  elapsedMilliseconds: number,
): RoleUsage | undefined {
  let processes = 0;
  let usedMilliseconds = 0;
  let residentBytes = 0;
  let sentBytes = 0;
  let controlBytes = 0;
  const families: Record<string, number> = {};
  for (const [name, end] of after.processes) {
    const start = before.processes.get(name);
    if (end.role !== role || start === undefined) continue;
    processes += 1;
    usedMilliseconds += end.processorMilliseconds - start.processorMilliseconds;
    residentBytes += end.residentBytes;
    sentBytes += end.sentBytes - start.sentBytes;
    controlBytes += end.controlBytes - start.controlBytes;
    for (const [family, bytes] of Object.entries(end.sentBytesByFamily)) {
      families[family] = (families[family] ?? 0) + bytes - (start.sentBytesByFamily[family] ?? 0);
    }
  }
  if (processes === 0) return undefined;
  const perSecond = (bytes: number): number =>
    (bytes / elapsedMilliseconds / processes) * MILLISECONDS_PER_SECOND;
  const byFamily = Object.entries(families).map(([family, bytes]) => [family, perSecond(bytes)]);
  return {
    processes,
    cores: usedMilliseconds / elapsedMilliseconds / processes,
    residentBytes: residentBytes / processes,
    sentBytesPerSecond: perSecond(sentBytes),
    controlBytesPerSecond: perSecond(controlBytes),
    bytesPerSecondByFamily: Object.fromEntries(byFamily) as Record<string, number>,
  };
}

function usageBetween(before: UsageSample, after: UsageSample): UsageReport {
  const elapsedMilliseconds = after.at - before.at;
  const roles: Partial<Record<Role, RoleUsage>> = {};
  for (const role of ['entry', 'control', 'agent'] as const) {
    const usage = roleUsage(role, before, after, elapsedMilliseconds);
    if (usage !== undefined) roles[role] = usage;
  }
  const total = after.totalMilliseconds - before.totalMilliseconds;
  return {
    roles,
    benchCores: {
      proxy:
        (after.proxyProcessorMilliseconds - before.proxyProcessorMilliseconds) /
        elapsedMilliseconds,
      standins:
        (after.standinProcessorMilliseconds - before.standinProcessorMilliseconds) /
        elapsedMilliseconds,
      load:
        (after.loadProcessorMilliseconds - before.loadProcessorMilliseconds) / elapsedMilliseconds,
    },
    busyShare: total === 0 ? 0 : (after.busyMilliseconds - before.busyMilliseconds) / total,
  };
}

/** Starts a measured period; the returned function ends it and reports the resource use. */
export async function startUsagePeriod(system: System): Promise<() => Promise<UsageReport>> {
  const before = await takeSample(system);
  return async () => usageBetween(before, await takeSample(system));
}
