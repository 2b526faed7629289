/** The result of health checks: whether load balancers should send requests to this node. */
import type { Instant } from '@tealdock/wire';
import type { Catalog } from '../machines/catalog.js';
import type { Peers } from '../peers/peers.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';

/**
 * A new node is unhealthy until it has the catalog, which it needs to validate submissions, but
 * for no longer than this.
 */
const STARTUP_GRACE_MS = 6000;

/** Determines the health of this node. */
export class NodeHealth {
  private startedAt: Instant = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly catalog: Catalog,
    private readonly peers: Peers,
  ) {}

  /** Records that the node starts now. */
  start(): void {
    this.startedAt = this.runtime.now;
  }

  /**
   * A node that reaches neither the state service nor any peer is unhealthy. If all nodes lose
   * the state service they stay healthy, since removing them would only double the time for
   * which the load balancer serves nothing.
   */
  get isHealthy(): boolean {
    const isStarting = this.runtime.now - this.startedAt < STARTUP_GRACE_MS;
    if (isStarting && !this.catalog.isLoaded) return false;
    return this.state.isAvailable || this.peers.hasLivePeer;
  }
}
