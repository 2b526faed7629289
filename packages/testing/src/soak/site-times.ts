/** Times and sizes of the site that a soak runs, and the settings files of its controllers. */
import type { Duration } from '@tealdock/wire';
import { LOOPBACK } from './loopback.js';

/** Times of a site. */
export interface SiteTimes {
  heartbeatInterval: Duration;
  lease: Duration;
  cancellationLimit: Duration;
  leaderLease: Duration;
}

/** Short times, so that many leases and limits pass within a run. */
export const TIMES: SiteTimes = {
  heartbeatInterval: 1000,
  lease: 8000,
  cancellationLimit: 16_000,
  leaderLease: 2000,
};

/** Times of a deployment. */
export const DEPLOYED_TIMES: SiteTimes = {
  heartbeatInterval: 3000,
  lease: 26_000,
  cancellationLimit: 56_000,
  leaderLease: 5000,
};

/** Names of the controllers. */
export const NODES = ['n-0', 'n-1', 'n-2'] as const;
/** Name of a controller. */
export type NodeName = (typeof NODES)[number];

/** Where the controllers of a site live. */
const ZONE_OF: Record<NodeName, string> = { 'n-0': 'a', 'n-1': 'b', 'n-2': 'a' };

/**
 * Controllers listen on ports that are never given out as free ones: a worker's server that
 * took one while its controller is away would answer in its place. The address is the run's own.
 */
const FIRST_HTTP_PORT = 8080;
const FIRST_PEER_PORT = 9080;

/** Where a controller listens. */
export function listenPortsOf(name: NodeName): Pick<NodePorts, 'http' | 'peer'> {
  const index = NODES.indexOf(name);
  return { http: FIRST_HTTP_PORT + index, peer: FIRST_PEER_PORT + index };
}

/** Ports of one controller and of what it is told to use. */
export interface NodePorts {
  http: number;
  peer: number;
  state: number;
  /** What it dials to reach each other controller. */
  links: Map<NodeName, number>;
}

/** The operators' settings file, which all controllers share. */
export const operatorSettings = (times: SiteTimes): string =>
  ['[leadership]', `lease_s = ${times.leaderLease / 1000}`, 'resign_deaf_s = 4', ''].join('\n');

/** The platform's settings file of one controller. */
export function platformSettings(
  name: NodeName,
  ports: NodePorts,
  cloudPort: number,
  times: SiteTimes,
  limits: { cpus: number; sockets: number },
): string {
  const members = [...ports.links].flatMap(([member, port]) => [
    '[[members]]',
    `member = "${member}"`,
    `zone = "${ZONE_OF[member]}"`,
    `addr = "${LOOPBACK}:${port}"`,
  ]);
  return [
    `member = "${name}"`,
    `zone = "${ZONE_OF[name]}"`,
    `public_addr = "${LOOPBACK}:${ports.http}"`,
    `cluster_listen = "${LOOPBACK}:${ports.peer}"`,
    ...members,
    '[external]',
    `cloud = "${LOOPBACK}:${cloudPort}"`,
    `state = "${LOOPBACK}:${ports.state}"`,
    '[settings]',
    'zones = ["a", "b"]',
    '[[settings.teams]]',
    'name = "team"',
    `cpus_max = ${limits.cpus}.0`,
    '[settings.workers]',
    `report_s = ${times.heartbeatInterval / 1000}`,
    `lease_s = ${times.lease / 1000}`,
    `cancel_s = ${times.cancellationLimit / 1000}`,
    '[settings.state]',
    'rps = 250.0\nwrite_rps = 60.0\nvalue_kb = 16.0\ntxn_ops = 12',
    '[settings.cloud]',
    'rps = 6.0\nlist_lag_s = 1.0',
    '[settings.machine_limits]',
    `cpu_share = 1.0\nmem_mb = 242.0\nmax_connections = ${limits.sockets}`,
    '',
  ].join('\n');
}
