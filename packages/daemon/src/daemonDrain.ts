import { setTimeout } from 'node:timers/promises';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';
import type { DaemonRole } from './daemonRole.js';

/**
 * Drains all roles of a process at the same time; resolves when they are idle or the bound passes.
 *
 * @remarks
 * A non-repeatable request whose upstream never answers would otherwise keep the process for ever.
 */
export async function drainRoles(
  roles: readonly Pick<DaemonRole, 'drain'>[],
  timeoutMilliseconds: Milliseconds,
  log: EventLog,
): Promise<void> {
  const timerAbort = new AbortController();
  const drained = Promise.all(roles.map(async (role) => role.drain())).then(() => true);
  const { signal } = timerAbort;
  const expired = setTimeout(timeoutMilliseconds, false, { signal }).catch(() => false);
  const isIdle = await Promise.race([drained, expired]);
  timerAbort.abort();
  if (!isIdle) log.write('drainCutOff', { drainMilliseconds: timeoutMilliseconds });
}
