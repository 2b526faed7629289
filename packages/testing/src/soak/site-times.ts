/** Times of the site that a soak runs, and the ports and settings files of its controllers. */
import type { Duration } from '@tealdock/wire';
import { LOOPBACK } from './loopback.js';

/** Timing settings of a site. */
export interface SiteTimes {
  heartbeatInterval: Duration;
  lease: Duration;
  cancellationLimit: Duration;
  leaderLease: Duration;
}

/** Short times, so that many leases and cancellation limits expire within a run. */
export const SOAK_TIMES: SiteTimes = {
  heartbeatInterval: 1000,
  lease: 8000,
  cancellationLimit: 16_000,
  leaderLease: 2000,
};

/** Times as in a deployment. */
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

/** Zone of each controller. */
const ZONE_BY_NODE: Record<NodeName, string> = { 'n-0': 'a', 'n-1': 'b', 'n-2': 'a' };

/**
 * Controllers listen on fixed ports, which the system never assigns as free ones. Otherwise a
 * worker's server could get the port of a controller that is down and answer in its place. Runs
 * don't conflict, since each has its own address.
 */
const FIRST_HTTP_PORT = 8080;
const FIRST_PEER_PORT = 9080;

/** The ports on which a controller listens. */
export function listenPortsOf(name: NodeName): Pick<NodePorts, 'http' | 'peer'> {
  const index = NODES.indexOf(name);
  return { http: FIRST_HTTP_PORT + index, peer: FIRST_PEER_PORT + index };
}

/** Ports of a controller, and of the services and peers in its settings. */
export interface NodePorts {
  http: number;
  peer: number;
  state: number;
  /** Ports to dial for the other controllers; each belongs to a `TcpLink`. */
  peerLinkPorts: Map<NodeName, number>;
}

/** Text of the operators' settings file, which is the same for all controllers. */
export const operatorSettings = (times: SiteTimes): string =>
  ['[leadership]', `lease_s = ${times.leaderLease / 1000}`, 'resign_deaf_s = 4', ''].join('\n');

/** Text of a controller's platform settings file. */
export function platformSettings(
  name: NodeName,
  ports: NodePorts,
  cloudPort: number,
  times: SiteTimes,
  limits: { cpus: number; sockets: number },
): string {
  const members = [...ports.peerLinkPorts].flatMap(([member, port]) => [
    '[[members]]',
    `member = "${member}"`,
    `zone = "${ZONE_BY_NODE[member]}"`,
    `addr = "${LOOPBACK}:${port}"`,
  ]);
  return [
    `member = "${name}"`,
    `zone = "${ZONE_BY_NODE[name]}"`,
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
