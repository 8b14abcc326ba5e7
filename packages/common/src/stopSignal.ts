/** Source of signals; usually the process. */
export interface SignalSource {
  on(signal: NodeJS.Signals, listener: () => void): unknown;
  once(signal: NodeJS.Signals, listener: () => void): unknown;
}

/**
 * Handles the signals of a process until it ends: resolves with the first that stops it.
 *
 * @remarks
 * A signal without a handler would end the process at once, also one that comes while it starts or
 * drains. Supervisors may send SIGTERM in series; a second SIGINT ends the process, as is usual at a
 * terminal.
 *
 * @param onHangUp - called for each `SIGHUP`.
 */
export async function receiveStopSignal(
  source: SignalSource,
  onHangUp: () => void,
): Promise<string> {
  return new Promise((resolve) => {
    source.on('SIGTERM', () => {
      resolve('SIGTERM');
    });
    source.once('SIGINT', () => {
      resolve('SIGINT');
    });
    source.on('SIGHUP', onHangUp);
  });
}
