import { ResultCode } from '@burdockrail/common/resultCode.js';
import { toResultError } from '@burdockrail/common/outcome.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';
import { dispatch, spawn, stop, type ActorSystemRef } from 'nact';

/** An actor that owns a state and handles one message at a time, in order of arrival. */
export interface Controller<Message> {
  readonly send: (message: Message) => void;
  readonly stop: () => void;
}

/** Returns the next state after a message; performs side effects itself. */
export type ControllerStep<State, Message> = (
  state: State,
  message: Message,
) => State | Promise<State>;

/**
 * Starts a controller in an actor system.
 *
 * @remarks
 * If a step throws, the controller keeps the state from before the message, writes an event and
 * continues with the next message.
 */
export function createController<State, Message>(
  system: ActorSystemRef,
  name: string,
  initialState: State,
  step: ControllerStep<State, Message>,
  log: EventLog,
): Controller<Message> {
  const handleMessage = async (state: State | undefined, message: Message): Promise<State> => {
    const currentState = state ?? initialState;
    try {
      return await step(currentState, message);
    } catch (error) {
      const reason = toResultError(error, ResultCode.InternalError).message;
      log.write('controllerFailed', { controller: name, reason });
      return currentState;
    }
  };
  const reference = spawn(system, handleMessage, name);
  return {
    send: (message) => {
      dispatch(reference, message);
    },
    stop: () => {
      stop(reference);
    },
  };
}
