import { z } from 'zod';

const DEFAULT_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_CLIENT_MEMORY_BYTES = 64 * 1024 * 1024;
const DEFAULT_MAXIMUM_CONNECTIONS = 2_048;
const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;
const DEFAULT_DRAIN_MILLISECONDS = 30_000;

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/u, 'expected a lower-case name');

const httpUrl = z
  .url({ protocol: /^https?$/u, error: 'expected an http URL with an IP address' })
  .refine(hasNumericHost, 'expected an IP address instead of a host name');

function hasNumericHost(url: string): boolean {
  const host = new URL(url).hostname.replace(/^\[(.*)\]$/u, '$1');
  return z.union([z.ipv4(), z.ipv6()]).safeParse(host).success;
}

/** Schema of an IP address and port. */
export const addressSchema = z
  .strictObject({
    host: z
      .union([z.ipv4(), z.ipv6()], 'expected an IP address')
      .describe('IP address, not a host name'),
    port: z.int().min(0).max(65535).describe('port; 0 picks a free one'),
  })
  .readonly();

/** Schema of one element of `peers`. */
export const peerSchema = z
  .strictObject({
    name: name.describe('name of the process, as in its own settings'),
    dataCentre: name.describe('data centre that the process runs in'),
    roles: z
      .array(z.enum(['entry', 'control']))
      .min(1)
      .readonly()
      .describe('roles of the process'),
    address: addressSchema.describe('address that the process advertises'),
  })
  .readonly();

/** Schema of the entry role. */
export const entrySchema = z
  .strictObject({
    http: addressSchema.describe(
      "address of the HTTP listener that the platform's load balancer calls",
    ),
    maximumBodyBytes: z
      .int()
      .positive()
      .default(DEFAULT_MAXIMUM_BODY_BYTES)
      .describe('maximum size of a request body, in bytes'),
    clientMemoryBytes: z
      .int()
      .positive()
      .default(DEFAULT_CLIENT_MEMORY_BYTES)
      .describe('memory for what all callers send and have not read, in bytes'),
    maximumConnections: z
      .int()
      .positive()
      .default(DEFAULT_MAXIMUM_CONNECTIONS)
      .describe('maximum number of open connections of callers'),
    defaultTimeoutMilliseconds: z
      .int()
      .positive()
      .default(DEFAULT_TIMEOUT_MILLISECONDS)
      .describe('timeout of requests that set none, in milliseconds'),
  })
  .readonly();

/** Schema of the control role. */
export const controlSchema = z
  .strictObject({
    dataFolder: z
      .string()
      .min(1)
      .describe('folder on the disk of the VM; relative to the folder of the settings file'),
  })
  .readonly();

/** Schema of the agent role. */
export const agentSchema = z
  .strictObject({
    service: name.describe('service of the fleet that the upstream belongs to'),
    upstream: z
      .strictObject({
        kind: z.enum(['model', 'plain']).describe('model engine or plain HTTP service'),
        url: httpUrl.describe('base URL of the upstream'),
      })
      .readonly()
      .describe('the upstream on the same VM'),
    weightStore: httpUrl.optional().describe('base URL of the weight store; required for models'),
    origin: httpUrl.optional().describe('base URL of the origin of weights; required for models'),
    weightBytesPerSecond: z
      .int()
      .positive()
      .optional()
      .describe('limit on weight bytes received, and on those sent, in bytes per second'),
    plan: z
      .enum(['swarm', 'origin', 'chain', 'tree'])
      .default('swarm')
      .describe(
        'how weights are distributed to the agents of a fleet; must be equal for all agents',
      ),
  })
  .readonly();

/** Schema of the settings of one process. */
export const settingsSchema = z
  .strictObject({
    name: name.describe('name of the process; unchanged by restarts'),
    dataCentre: name.describe('data centre that the process runs in'),
    region: name.describe('region of that data centre'),
    listen: addressSchema.describe(
      'address on which the process accepts connections of other processes',
    ),
    advertise: addressSchema
      .optional()
      .describe('address that other processes connect to, if it differs from `listen`'),
    peers: z
      .array(peerSchema)
      .readonly()
      .describe('entries and control replicas of all data centres, including this process'),
    entry: entrySchema.optional().describe('gives the process the role `entry`'),
    control: controlSchema.optional().describe('gives the process the role `control`'),
    agent: agentSchema.optional().describe('gives the process the role `agent`'),
    log: z
      .strictObject({
        format: z.enum(['json', 'pretty']).default('json').describe('format of log lines'),
        level: z
          .enum(['error', 'warn', 'info', 'debug'])
          .default('info')
          .describe('lowest severity that is written'),
      })
      .readonly()
      .default({ format: 'json', level: 'info' })
      .describe('log on the standard error stream'),
    drainMilliseconds: z
      .int()
      .positive()
      .default(DEFAULT_DRAIN_MILLISECONDS)
      .describe('maximum time for work in progress at shutdown, in milliseconds'),
  })
  .readonly();

export type Settings = z.output<typeof settingsSchema>;
export type EntrySettings = z.output<typeof entrySchema>;
export type AgentSettings = z.output<typeof agentSchema>;
export type ControlSettings = z.output<typeof controlSchema>;
export type PeerSettings = z.output<typeof peerSchema>;
