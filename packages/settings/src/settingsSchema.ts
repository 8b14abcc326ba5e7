import { z } from 'zod';

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/u, 'expected a lower-case name');

/** Schema of an IP number and port. */
export const addressSchema = z
  .strictObject({ host: z.union([z.ipv4(), z.ipv6()]), port: z.int().min(0).max(65535) })
  .readonly();

/** Schema of another process that this one talks to. */
export const peerSchema = z
  .strictObject({
    name,
    dataCentre: name,
    roles: z
      .array(z.enum(['entry', 'control']))
      .min(1)
      .readonly(),
    address: addressSchema,
  })
  .readonly();

/** Schema of the entry role. */
export const entrySchema = z
  .strictObject({
    /** Address of the HTTP port that the platform's balancer calls. */
    http: addressSchema,
    maximumBodyBytes: z
      .int()
      .positive()
      .default(4 * 1024 * 1024),
    defaultTimeoutMilliseconds: z.int().positive().default(30_000),
  })
  .readonly();

/** Schema of the control role. */
export const controlSchema = z
  .strictObject({
    /** Folder on the disk of the machine; files in it outlast the process. */
    dataFolder: z.string().min(1),
  })
  .readonly();

/** Schema of the agent role. */
export const agentSchema = z
  .strictObject({
    service: name,
    upstream: z.strictObject({ kind: z.enum(['model', 'plain']), url: z.url() }).readonly(),
    weightStore: z.url().optional(),
    origin: z.url().optional(),
    /** Bound on weight bytes received from or sent to the network, in bytes a second. */
    weightBytesPerSecond: z.int().positive().optional(),
    plan: z.enum(['swarm', 'origin', 'chain', 'tree']).default('swarm'),
  })
  .readonly();

/** Schema of the settings of one process. */
export const settingsSchema = z
  .strictObject({
    name,
    dataCentre: name,
    region: name,
    /** Address that the process binds for other processes. */
    listen: addressSchema,
    /** Address that other processes are told, if it differs. */
    advertise: addressSchema.optional(),
    /** Entries and control replicas of all data centres, this process among them. */
    peers: z.array(peerSchema).readonly(),
    entry: entrySchema.optional(),
    control: controlSchema.optional(),
    agent: agentSchema.optional(),
    log: z
      .strictObject({
        format: z.enum(['json', 'pretty']).default('json'),
        level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
      })
      .readonly()
      .default({ format: 'json', level: 'info' }),
    drainMilliseconds: z.int().positive().default(30_000),
  })
  .readonly();

export type Settings = z.output<typeof settingsSchema>;
export type EntrySettings = z.output<typeof entrySchema>;
export type AgentSettings = z.output<typeof agentSchema>;
export type ControlSettings = z.output<typeof controlSchema>;
export type PeerSettings = z.output<typeof peerSchema>;
