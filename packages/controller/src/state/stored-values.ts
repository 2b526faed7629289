/** Reads values of the state service: each is checked here, and nowhere else. */
import type { MachineType } from '@tealdock/wire';
import type { EndedValue, GrantValue, LeaderValue, LiveValue } from './keys.js';

type Fields = Record<string, unknown>;

const fieldsOf = (stored: unknown): Fields | null =>
  typeof stored === 'object' && stored !== null ? (stored as Fields) : null;

const isSpec = (value: unknown): boolean => {
  const spec = fieldsOf(value);
  return typeof spec?.['id'] === 'string' && typeof spec['taskCount'] === 'number';
};

/** An accepted job; null for a value that is none. */
export function readLive(stored: unknown): LiveValue | null {
  const value = fieldsOf(stored);
  const whole = isSpec(value?.['spec']) && typeof value?.['submitted'] === 'number';
  return whole ? (stored as LiveValue) : null;
}

/** A job that has ended; null for a value that is none. */
export function readEnded(stored: unknown): EndedValue | null {
  const value = fieldsOf(stored);
  const state = value?.['state'];
  const whole = isSpec(value?.['spec']) && (state === 'done' || state === 'cancelled');
  return whole ? (stored as EndedValue) : null;
}

/** Who leads; null for a value that does not say it. */
export function readLeader(stored: unknown): LeaderValue | null {
  const value = fieldsOf(stored);
  const whole = typeof value?.['member'] === 'string' && typeof value['nonce'] === 'string';
  return whole ? (stored as LeaderValue) : null;
}

/** A grant to renew leases for the leader; null for a value that is none. */
export function readGrant(stored: unknown): GrantValue | null {
  const value = fieldsOf(stored);
  const whole = typeof value?.['token'] === 'number' && typeof value['at'] === 'number';
  return whole ? (stored as GrantValue) : null;
}

/** The last machine that was there before the first rental; null for a value that is none. */
export function readOwned(stored: unknown): { last: string } | null {
  const last = fieldsOf(stored)?.['last'];
  return typeof last === 'string' ? { last } : null;
}

/** A machine type of the catalog; null for a value that is none. */
export function readMachineType(stored: unknown): MachineType | null {
  const value = fieldsOf(stored);
  const whole =
    typeof value?.['name'] === 'string' &&
    typeof value['cpus'] === 'number' &&
    typeof value['memoryGb'] === 'number' &&
    Array.isArray(value['zones']);
  return whole ? (stored as MachineType) : null;
}

/** The entries of a shard; null for a value that is none. */
export function readShard(stored: unknown): Fields | null {
  return fieldsOf(fieldsOf(stored)?.['entries']);
}
