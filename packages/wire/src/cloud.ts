/**
 * The cloud's interface: its catalog of machine types, its machine list, rentals and returns.
 * This file maps the cloud's own names to those in domain.ts, which all other code uses.
 */
import { z } from 'zod';
import { millisecondsOf } from './body.js';
import type { ListedMachine, MachineType } from './domain.js';
import { listOf, validateBody } from './validation.js';

/** The machine types on offer (GET). */
export const CATALOG_PATH = '/catalog';
/** The machine list (GET) and rentals (POST). */
export const MACHINES_PATH = '/machines';
/** Returns of machines (POST). */
export const RETURN_PATH = '/machines/return';
/** The most machines that one rental may ask for. */
export const MAX_RENTAL_COUNT = 50;
/** The most machines that one return may name. */
export const MAX_RETURN_COUNT = 100;
/** The most machines on one page of the list. */
const MAX_PAGE_MACHINE_COUNT = 500;

/** A request for machines of one type in one zone. */
export interface RentRequest {
  /** Identifies the request, so that repeating it rents no further machines. */
  request: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Number of machines, at most `MAX_RENTAL_COUNT`. */
  count: number;
}

const amount = z.number().nonnegative();
const catalogSchema = z.object({
  flavours: listOf(
    z.object({
      label: z.string().min(1),
      cpus: amount,
      accelerators: amount,
      mem_gb: amount,
      cache_gb: amount,
      pull_gb_per_s: amount,
      price: amount,
      low_price: amount.nullish(),
      ready_s: amount,
      halls: listOf(z.string()),
    }),
  ),
});
const rentedSchema = z.object({ hosts: listOf(z.string()) });
const machinePageSchema = z.object({
  hosts: listOf(
    z.object({
      ref: z.string(),
      addr: z.string().nullish(),
      flavour: z.string(),
      hall: z.string(),
      spare: z.boolean(),
      status: z.enum(['booting', 'running', 'failed']),
      age_s: z.number(),
    }),
  ),
  has_next: z.boolean().nullish(),
});

/** Parses the machine types that the cloud offers; throws `WireError`. */
export function parseCatalog(body: unknown): MachineType[] {
  return validateBody(catalogSchema, body).flavours.map((flavour) => ({
    name: flavour.label,
    cpus: flavour.cpus,
    gpus: flavour.accelerators,
    memoryGb: flavour.mem_gb,
    cacheGb: flavour.cache_gb,
    fetchGbPerS: flavour.pull_gb_per_s,
    price: flavour.price,
    spotPrice: flavour.low_price ?? flavour.price,
    boot: millisecondsOf(flavour.ready_s),
    zones: flavour.halls,
  }));
}

/** The body of a rental request. */
export const renderRentalRequest = (request: RentRequest): Record<string, unknown> => ({
  rental: request.request,
  flavour: request.type,
  hall: request.zone,
  spare: request.spot,
  count: request.count,
});

/** Parses the response to a rental: the ids of the rented machines; throws `WireError`. */
export const parseRentedMachines = (body: unknown): string[] =>
  validateBody(rentedSchema, body).hosts;

/** The body of a request that returns machines, by their ids. */
export const renderReturn = (machines: string[]): Record<string, unknown> => ({ hosts: machines });

/** The path of the page of the machine list that follows the id `after`; '' for the first page. */
export const machinePagePath = (after: string): string =>
  `${MACHINES_PATH}?after=${encodeURIComponent(after)}&most=${MAX_PAGE_MACHINE_COUNT}`;

/** Parses a page of the machine list; `more` if another page follows. Throws `WireError`. */
export function parseMachinePage(body: unknown): { machines: ListedMachine[]; more: boolean } {
  const page = validateBody(machinePageSchema, body);
  return {
    more: page.has_next ?? false,
    machines: page.hosts.map((host) => ({
      id: host.ref,
      address: host.addr ?? '',
      type: host.flavour,
      zone: host.hall,
      spot: host.spare,
      state: host.status,
      age: millisecondsOf(host.age_s),
    })),
  };
}
