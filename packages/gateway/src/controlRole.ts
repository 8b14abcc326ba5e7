import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { createPeerServer } from '@burdockrail/transport/peerServer.js';
import { mergeHandlers } from '@burdockrail/transport/peerHandlers.js';
import { createControlBoard } from './controlBoard.js';
import { foundWhenFirst } from './controlFounding.js';
import { openControlGroup } from './controlGroup.js';
import { createControlOrders } from './controlOrders.js';
import { startControlServer } from './controlServer.js';
import type { GatewayContext, GatewayRole } from './gatewayContext.js';
import type { ControlSettings } from './gatewaySettings.js';

/** Pause before a process whose storage has failed ends, in milliseconds: a full disk stays full. */
const HALT_PAUSE_MILLISECONDS = 1_000;

/** Creates the role `control`: a replica of the group, the board of upstreams and their servers. */
export function createControlRole(context: GatewayContext, control: ControlSettings): GatewayRole {
  const owned = createDisposalStack();
  const stop = new AbortController();
  return {
    start: async () => {
      const group = owned.use(
        await openControlGroup({
          context,
          control,
          onApplied: () => {
            board.stateChanged();
          },
          onHalted: () => {
            // The log is unsound from here on; a new start reads what was synced.
            setTimeout(() => process.exit(1), HALT_PAUSE_MILLISECONDS);
          },
        }),
      );
      const board = owned.use(createControlBoard(context, control, group));
      const orders = createControlOrders(context, group);
      const handlers = mergeHandlers([group.handlers, board.handlers]);
      owned.use(
        await createPeerServer(control.internal, context.identity, handlers, context.traffic),
      );
      owned.use(await startControlServer(context, control, board, orders));
      board.start();
      const founding = foundWhenFirst(context, group, control.internal, stop.signal);
      owned.defer(async () => {
        stop.abort();
        await founding;
      });
    },
    drain: async () => Promise.resolve(),
    [Symbol.asyncDispose]: async () => owned[Symbol.asyncDispose](),
  };
}
