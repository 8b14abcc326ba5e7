/** Source of signals; usually the process. */
export interface SignalSource {
  on(signal: NodeJS.Signals, listener: () => void): unknown;
}

/** Signals that stop a process. */
const stopSignals = ['SIGTERM', 'SIGINT'] as const;

/**
 * Handles the signals of a process until it ends: resolves with the first that stops it.
 *
 * @remarks
 * A signal without a handler would end the process at once, also one that comes while it starts or
 * drains.
 *
 * @param onHangUp - called for each `SIGHUP`; without it `SIGHUP` stops the process.
 */
export async function receiveStopSignal(
  source: SignalSource,
  onHangUp?: () => void,
): Promise<string> {
  return new Promise((resolve) => {
    for (const signal of stopSignals) {
      source.on(signal, () => {
        resolve(signal);
      });
    }
    source.on('SIGHUP', () => {
      if (onHangUp === undefined) resolve('SIGHUP');
      else onHangUp();
    });
  });
}
