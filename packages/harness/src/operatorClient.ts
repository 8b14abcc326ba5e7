import { randomUUID } from 'node:crypto';
import { canonicalJson } from '@burdockrail/common/digest.js';
import {
  fleetConfigurationSchema,
  type FleetConfigurationInput,
} from '@burdockrail/fleet/fleetConfiguration.js';
import type { Address, PeerIdentity } from '@burdockrail/protocol/protocolAddress.js';
import type {
  CommittedConfiguration,
  ConfigurationApplyReply,
  ProcessStatus,
} from '@burdockrail/protocol/protocolConfiguration.js';
import type { CallKind, PeerCalls } from '@burdockrail/protocol/protocolKinds.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import { createPeerClient } from '@burdockrail/transport/peerClient.js';

const CALL_TIMEOUT_MILLISECONDS = 5_000;

const operatorIdentity: PeerIdentity = {
  name: 'operator',
  incarnation: randomUUID(),
  dataCentre: 'operator',
  roles: [],
};

/** Options of a configuration change. */
export interface ApplyOptions {
  readonly expectedRevision: number;
  /** Generated when absent. */
  readonly orderId?: string;
  readonly timeoutMilliseconds?: number;
}

/** Calls of an operator, each sent to the process at one address. */
export interface OperatorClient extends AsyncDisposable {
  call<Kind extends CallKind>(
    address: Address,
    kind: Kind,
    request: PeerCalls[Kind]['request'],
    timeoutMilliseconds?: number,
  ): Promise<PeerCalls[Kind]['reply']>;
  apply(
    address: Address,
    fleet: FleetConfigurationInput,
    options: ApplyOptions,
  ): Promise<ConfigurationApplyReply>;
  current(address: Address): Promise<CommittedConfiguration | null>;
  status(address: Address): Promise<ProcessStatus>;
  upstreams(address: Address): Promise<readonly Announcement[]>;
}

/** Creates a client that connects from the given local address. */
export function createOperatorClient(localHost: string): OperatorClient {
  const client = createPeerClient({ identity: operatorIdentity, localHost });
  const call: OperatorClient['call'] = async (address, kind, request, timeoutMilliseconds) =>
    client.connectionTo(address).call(kind, request, {
      timeoutMilliseconds: timeoutMilliseconds ?? CALL_TIMEOUT_MILLISECONDS,
    });
  return {
    call,
    apply: async (address, fleet, options) => {
      const document = canonicalJson(fleetConfigurationSchema.parse(fleet));
      const { expectedRevision, orderId = randomUUID() } = options;
      const order = { orderId, expectedRevision, document };
      return call(address, 'configuration.apply', order, options.timeoutMilliseconds);
    },
    current: async (address) => call(address, 'configuration.current', {}),
    status: async (address) => call(address, 'process.status', {}),
    upstreams: async (address) => call(address, 'membership.list', {}),
    [Symbol.asyncDispose]: async () => client[Symbol.asyncDispose](),
  };
}
