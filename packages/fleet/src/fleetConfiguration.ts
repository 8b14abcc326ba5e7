import { z } from 'zod';

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/u, 'expected a lower-case name');
const digest = z.string().regex(/^[0-9a-f]{64}$/u, 'expected a SHA-256 digest');

/** Schema of a data centre. */
export const dataCentreSchema = z.strictObject({ name, region: name }).readonly();

/** Schema of weights or of an adapter: a version of a model in the weight store. */
export const versionSchema = z
  .strictObject({ model: name, version: z.string().min(1), digest: digest.optional() })
  .readonly();

/** Schema of a route of a service. */
export const routeSchema = z
  .strictObject({
    method: z.enum(['GET', 'POST', 'PUT', 'DELETE']),
    /** Path prefix below the service. */
    path: z.string().startsWith('/'),
    /** False for requests that may run at most once. */
    repeatable: z.boolean(),
  })
  .readonly();

/** Schema of a service and its upstreams. */
export const serviceSchema = z
  .strictObject({
    name,
    kind: z.enum(['model', 'plain']),
    /** Data centre whose ledger decides on the non-repeatable requests of the service. */
    home: name,
    /** Expected count of upstreams by data centre. */
    upstreams: z.record(name, z.int().min(0)).readonly(),
    weights: versionSchema.optional(),
    adapters: z.array(versionSchema).readonly().default([]),
    /** Whether its upstreams refuse orders with an old fencing number by themselves. */
    checksFencing: z.boolean().default(false),
    routes: z.array(routeSchema).readonly().default([]),
  })
  .readonly();

/** Schema of a team and its limits. */
export const teamSchema = z
  .strictObject({
    name,
    /** Weight of the team when capacity is short. */
    share: z.number().positive().default(1),
    requestsPerSecond: z.number().positive().optional(),
    concurrency: z.int().positive().optional(),
  })
  .readonly();

/** Schema of the whole configuration of a fleet. */
export const fleetConfigurationSchema = z
  .strictObject({
    fleet: name,
    dataCentres: z.array(dataCentreSchema).min(1).readonly(),
    services: z.array(serviceSchema).readonly(),
    teams: z.array(teamSchema).readonly(),
  })
  .readonly();

export type FleetConfiguration = z.output<typeof fleetConfigurationSchema>;
export type FleetConfigurationInput = z.input<typeof fleetConfigurationSchema>;
export type ServiceConfiguration = z.output<typeof serviceSchema>;
export type TeamConfiguration = z.output<typeof teamSchema>;
export type VersionConfiguration = z.output<typeof versionSchema>;
export type RouteConfiguration = z.output<typeof routeSchema>;
