import { join } from 'node:path';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { createUpstreamRegistry } from '@burdockrail/membership/upstreamRegistry.js';
import { createPeerServer } from '@burdockrail/transport/peerServer.js';
import { mergeHandlers } from '@burdockrail/transport/peerHandlers.js';
import { createControlDirectory } from './controlDirectory.js';
import { openDepartureStore } from './departureStore.js';
import { formGroupOnFirstStart } from './groupFormation.js';
import { openControlGroup, type ControlGroup } from './controlGroup.js';
import { createLeaderClient } from './leaderClient.js';
import { startControlServer, type ControlServer } from './controlServer.js';
import type { GatewayContext, GatewayRole } from './gatewayContext.js';
import type { ControlSettings } from './gatewaySettings.js';
import { openVerdictStore } from './verdictStore.js';

/** Delay before a process with corrupt storage exits, in milliseconds; a start fails as well. */
const EXIT_DELAY_MILLISECONDS = 1_000;

/** File with the departures of upstreams, in the data folder. */
const DEPARTURES_FILE = join('departures', 'held');

/** File with the verdicts of agents on loads, in the data folder. */
const VERDICTS_FILE = join('loads', 'verdicts');

/** Creates the `control` role: control group replica, upstream directory and servers. */
export function createControlRole(context: GatewayContext, control: ControlSettings): GatewayRole {
  const disposables = createDisposalStack();
  const stop = new AbortController();
  let server: ControlServer | null = null;
  let group: ControlGroup | null = null;
  return {
    start: async () => {
      const upstreams = createUpstreamRegistry();
      const departureStore = disposables.use(
        await openDepartureStore({
          path: join(control.dataFolder, DEPARTURES_FILE),
          log: context.log,
        }),
      );
      const verdictStore = disposables.use(
        await openVerdictStore({
          path: join(control.dataFolder, VERDICTS_FILE),
          log: context.log,
          upstreams,
          now: context.time.now(),
        }),
      );
      const openedGroup = disposables.use(
        await openControlGroup({
          context,
          control,
          onApplied: () => {
            directory.stateChanged();
          },
          onCorrupt: () => {
            setTimeout(() => process.exit(1), EXIT_DELAY_MILLISECONDS);
          },
        }),
      );
      group = openedGroup;
      const directory = disposables.use(
        createControlDirectory({
          context,
          control,
          group: openedGroup,
          upstreams,
          departureStore,
          verdictStore,
        }),
      );
      const leaderClient = createLeaderClient(context, openedGroup);
      const handlers = mergeHandlers([openedGroup.handlers, directory.handlers]);
      disposables.use(
        await createPeerServer(
          control.internal,
          context.identity,
          handlers,
          context.traffic,
          context.shares.peerBounds,
        ),
      );
      server = disposables.use(await startControlServer(context, control, directory, leaderClient));
      directory.start();
      const formation = formGroupOnFirstStart(context, openedGroup, control.internal, stop.signal);
      disposables.defer(async () => {
        stop.abort();
        await formation;
      });
    },
    drain: async () => {
      await server?.drain();
      await group?.host.resign();
    },
    [Symbol.asyncDispose]: async () => disposables[Symbol.asyncDispose](),
  };
}
