import type { FaultBase, FaultSet } from './faultSet.js';
import { readJson, sendJson, type StandinRoute } from './standinServer.js';

/** Counts, faults and crash of a stand-in, which tests control over HTTP. */
export interface StandinControl<Fault extends FaultBase> {
  readonly counts: () => object;
  readonly faults: FaultSet<Fault>;
  /** Undefined for stand-ins that cannot crash. */
  readonly crash?: (downMilliseconds?: number) => Promise<void>;
}

/** Creates the control routes that every stand-in has. */
export function controlRoutes<Fault extends FaultBase>(
  control: StandinControl<Fault>,
): readonly StandinRoute[] {
  return [
    {
      method: 'GET',
      pattern: /^\/control\/counts$/u,
      handle: ({ response }) => {
        sendJson(response, 200, control.counts());
      },
    },
    {
      method: 'POST',
      pattern: /^\/control\/faults$/u,
      handle: async ({ request, response }) => {
        control.faults.replace((await readJson(request)) as readonly Fault[]);
        sendJson(response, 200, {});
      },
    },
    {
      method: 'POST',
      pattern: /^\/control\/crash$/u,
      handle: async ({ request, response }) => {
        const options = (await readJson(request)) as { readonly downMilliseconds?: number };
        await new Promise<void>((resolve) => {
          response.once('finish', resolve);
          sendJson(response, 200, {});
        });
        await control.crash?.(options.downMilliseconds);
      },
    },
  ];
}
