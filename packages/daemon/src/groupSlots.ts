import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import type { PeerSettings, Settings } from '@burdockrail/settings/settingsSchema.js';
import { FLEET_GROUP, ledgerGroup } from './groupName.js';

/** Maximum number of replicas of a ledger group. */
const MAXIMUM_LEDGER_SLOTS = 5;

/** A process that may host a replica of a group. */
export interface GroupSlot {
  readonly name: string;
  readonly address: Address;
  /** True if the process stores its replicas on disk. */
  readonly durable: boolean;
}

function toSlot(peer: PeerSettings): GroupSlot {
  const durable = peer.roles.includes('control');
  return { name: peer.name, address: peer.address, durable };
}

function compareNames(left: GroupSlot, right: GroupSlot): number {
  return left.name < right.name ? -1 : 1;
}

function ledgerSlots(settings: Settings, dataCentre: string): readonly GroupSlot[] {
  const slots = settings.peers.filter((peer) => peer.dataCentre === dataCentre).map(toSlot);
  const durable = slots.filter((slot) => slot.durable).sort(compareNames);
  const inMemory = slots.filter((slot) => !slot.durable).sort(compareNames);
  return [...durable, ...inMemory].slice(0, MAXIMUM_LEDGER_SLOTS);
}

/** Names of all groups that follow from the settings, the fleet group first. */
export function groupNames(settings: Settings): readonly string[] {
  const dataCentres = new Set(settings.peers.map((peer) => peer.dataCentre));
  return [FLEET_GROUP, ...[...dataCentres].sort().map(ledgerGroup)];
}

/** Slots of a group, in the same order in every process; none for an unknown group. */
export function groupSlots(settings: Settings, group: string): readonly GroupSlot[] {
  if (group === FLEET_GROUP) {
    return settings.peers
      .map(toSlot)
      .filter((slot) => slot.durable)
      .sort(compareNames);
  }
  const dataCentre = settings.peers
    .map((peer) => peer.dataCentre)
    .find((name) => ledgerGroup(name) === group);
  return dataCentre === undefined ? [] : ledgerSlots(settings, dataCentre);
}
