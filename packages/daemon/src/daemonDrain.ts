import { setTimeout } from 'node:timers/promises';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';
import type { DaemonRole } from './daemonRole.js';

/**
 * Drains all roles of a process concurrently; resolves when they are idle or on timeout.
 *
 * @remarks
 * Without the timeout, a non-repeatable request whose upstream never answers would keep the process
 * from ending.
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
