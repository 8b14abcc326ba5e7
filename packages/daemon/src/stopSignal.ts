/**
 * Resolves with the first signal that asks the process to stop.
 *
 * @remarks
 * Further SIGTERMs change nothing: supervisors may send them in series while a process drains. A
 * second SIGINT ends the process at once, as usual at a terminal.
 */
export async function awaitStopSignal(): Promise<NodeJS.Signals> {
  return new Promise((resolve) => {
    process.on('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
}
