import { z } from 'zod';

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/u, 'expected a lower-case name');
const digest = z.string().regex(/^[0-9a-f]{64}$/u, 'expected a SHA-256 digest');

/** Schema of a data centre. */
export const dataCentreSchema = z
  .strictObject({
    name: name.describe('name of the data centre'),
    region: name.describe(
      'region; links between regions have less bandwidth than links within one',
    ),
  })
  .readonly();

/** Schema of weights or of an adapter, as a version in the weight store. */
export const versionSchema = z
  .strictObject({
    model: name.describe('name of the model or adapter'),
    version: z.string().min(1).describe('version in the weight store'),
    digest: digest
      .optional()
      .describe('SHA-256 of the weights; weights with another digest are rejected'),
  })
  .readonly();

/** Schema of a route of a service. */
export const routeSchema = z
  .strictObject({
    method: z.enum(['GET', 'POST', 'PUT', 'DELETE']).describe('HTTP method'),
    path: z
      .string()
      .startsWith('/')
      .describe('path prefix below the service; only whole segments match'),
    repeatable: z.boolean().describe('false for requests that may run at most once'),
  })
  .readonly();

/** Schema of a service and its upstreams. */
export const serviceSchema = z
  .strictObject({
    name: name.describe('name of the service'),
    kind: z.enum(['model', 'plain']).describe('model engines or plain HTTP services'),
    home: name.describe(
      'data centre whose ledger coordinates the non-repeatable requests of the service',
    ),
    upstreams: z
      .record(name, z.int().min(0))
      .readonly()
      .describe('expected number of upstreams per data centre'),
    weights: versionSchema
      .optional()
      .describe('weights that the upstreams serve; required for models'),
    adapters: z
      .array(versionSchema)
      .readonly()
      .default([])
      .describe('adapters served in addition to the weights'),
    checksFencing: z
      .boolean()
      .default(false)
      .describe('whether the upstreams reject requests with a stale fencing token by themselves'),
    routes: z
      .array(routeSchema)
      .readonly()
      .default([])
      .describe('routes that set whether their requests may be repeated'),
  })
  .readonly();

/** Schema of a team and its limits. */
export const teamSchema = z
  .strictObject({
    name: name.describe('name of the team'),
    share: z.number().positive().default(1).describe('weight of the team when capacity is short'),
    requestsPerSecond: z.number().positive().optional().describe('limit of requests per second'),
    concurrency: z.int().positive().optional().describe('limit of requests in progress'),
  })
  .readonly();

/** Schema of the whole configuration of a fleet. */
export const fleetConfigurationSchema = z
  .strictObject({
    fleet: name.describe('name of the fleet'),
    dataCentres: z.array(dataCentreSchema).min(1).readonly().describe('data centres of the fleet'),
    services: z.array(serviceSchema).readonly().describe('services and their upstreams'),
    teams: z.array(teamSchema).readonly().describe('teams that may send requests'),
  })
  .readonly();

export type FleetConfiguration = z.output<typeof fleetConfigurationSchema>;
export type FleetConfigurationInput = z.input<typeof fleetConfigurationSchema>;
export type ServiceConfiguration = z.output<typeof serviceSchema>;
export type TeamConfiguration = z.output<typeof teamSchema>;
export type VersionConfiguration = z.output<typeof versionSchema>;
export type RouteConfiguration = z.output<typeof routeSchema>;
