import { z } from 'zod';

const DEFAULT_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;
const DEFAULT_DRAIN_MILLISECONDS = 30_000;

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/u, 'expected a lower-case name');

const httpUrl = z
  .url({ protocol: /^https?$/u, error: 'expected an http URL with an IP number' })
  .refine(hasNumericHost, 'expected an IP number in place of a host name');

function hasNumericHost(url: string): boolean {
  const host = new URL(url).hostname.replace(/^\[(.*)\]$/u, '$1');
  return z.union([z.ipv4(), z.ipv6()]).safeParse(host).success;
}

/** Schema of an IP number and port. */
export const addressSchema = z
  .strictObject({
    host: z
      .union([z.ipv4(), z.ipv6()], 'expected an IP number')
      .describe('IP number, no host name'),
    port: z.int().min(0).max(65535).describe('port; 0 takes a free one'),
  })
  .readonly();

/** Schema of another process that this one talks to. */
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
    http: addressSchema.describe("address of the HTTP port that the platform's balancer calls"),
    maximumBodyBytes: z
      .int()
      .positive()
      .default(DEFAULT_MAXIMUM_BODY_BYTES)
      .describe('largest body of a request, in bytes'),
    defaultTimeoutMilliseconds: z
      .int()
      .positive()
      .default(DEFAULT_TIMEOUT_MILLISECONDS)
      .describe('deadline of requests that name none, in milliseconds'),
  })
  .readonly();

/** Schema of the control role. */
export const controlSchema = z
  .strictObject({
    dataFolder: z
      .string()
      .min(1)
      .describe('folder on the disk of the VM; relative paths start at the settings file'),
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
    weightStore: httpUrl.optional().describe('base URL of the weight store; models need it'),
    origin: httpUrl.optional().describe('base URL of the origin of weights; models need it'),
    weightBytesPerSecond: z
      .int()
      .positive()
      .optional()
      .describe('bound on weight bytes received, and on those sent, in bytes a second'),
    plan: z
      .enum(['swarm', 'origin', 'chain', 'tree'])
      .default('swarm')
      .describe('way in which weights reach the agents of a fleet; equal for all of them'),
  })
  .readonly();

/** Schema of the settings of one process. */
export const settingsSchema = z
  .strictObject({
    name: name.describe('name of the process; stays the same over restarts'),
    dataCentre: name.describe('data centre that the process runs in'),
    region: name.describe('region of that data centre'),
    listen: addressSchema.describe('address that the process binds for other processes'),
    advertise: addressSchema
      .optional()
      .describe('address that other processes are told, if it differs from `listen`'),
    peers: z
      .array(peerSchema)
      .readonly()
      .describe('entries and control replicas of all data centres, this process among them'),
    entry: entrySchema.optional().describe('gives the process the role `entry`'),
    control: controlSchema.optional().describe('gives the process the role `control`'),
    agent: agentSchema.optional().describe('gives the process the role `agent`'),
    log: z
      .strictObject({
        format: z.enum(['json', 'pretty']).default('json').describe('form of the log'),
        level: z
          .enum(['error', 'warn', 'info', 'debug'])
          .default('info')
          .describe('least grave level that is written'),
      })
      .readonly()
      .default({ format: 'json', level: 'info' })
      .describe('log on the standard error stream'),
    drainMilliseconds: z
      .int()
      .positive()
      .default(DEFAULT_DRAIN_MILLISECONDS)
      .describe('longest time for work in progress at shutdown, in milliseconds'),
  })
  .readonly();

export type Settings = z.output<typeof settingsSchema>;
export type EntrySettings = z.output<typeof entrySchema>;
export type AgentSettings = z.output<typeof agentSchema>;
export type ControlSettings = z.output<typeof controlSchema>;
export type PeerSettings = z.output<typeof peerSchema>;
