/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Simulates replicas with a fake network and fake disks under random faults; checks the safety invariants after each step. */

import assert from 'node:assert/strict';
import { AgreementCore } from '../common/agreementCore.js';
import type { AgreementMessage, Effects } from '../common/agreementTypes.js';
import { ModelDisk } from './modelDisk.js';
import type { ModelStep } from './modelStep.js';
import { SafetyInvariants } from './safetyInvariants.js';

const TIMING = { heartbeatMs: 100, electionMinMs: 600, leaseMs: 450 };
const MAX_MESSAGES = 400;
const HEAL_ROUNDS = 600;
const ROUND_MS = 20;
/** Longer than an election takes and than any lease lasts. */
const FREEZE_MS = 3000;

interface ModelNode {
	readonly id: string;
	readonly disk: ModelDisk;
	core?: AgreementCore;
	/** When the process crashed; undefined while it runs. */
	crashedAt?: number;
	/** The replica handles nothing before this time. */
	frozenUntil: number;
	/** The process crashes at its next write, which is lost. */
	crashesBeforeSync: boolean;
	isDiskBroken: boolean;
	/** Effects whose records the disk has not taken yet; the replica handles nothing meanwhile. */
	unwritten?: Effects;
	/** Index of the last applied entry. */
	applied: number;
	dropsInbound: boolean;
	dropsOutbound: boolean;
}

/** A simulated system of replicas. */
export class AgreementModel {
	private readonly _nodes: ModelNode[];
	private readonly _messages: AgreementMessage[] = [];
	private readonly _invariants = new SafetyInvariants();
	private _now = 0;
	private _incarnations = 0;
	private _proposals = 0;
	private _randomState = 1;

	constructor(count: number) {
		this._nodes = Array.from({ length: count }, (_unused, i) => ({
			id: `n${i + 1}`,
			disk: new ModelDisk(`i${++this._incarnations}`),
			frozenUntil: 0,
			crashesBeforeSync: false,
			isDiskBroken: false,
			applied: 0,
			dropsInbound: false,
			dropsOutbound: false
		}));
		this._nodes.forEach(node => this._start(node));
		this._perform(this._nodes[0]!, core => core.bootstrap(this._now));
		this.heal();
	}

	/** Number of voters with the incarnation of their current disk, in the member list of the replica with the longest log. */
	get currentVoterCount(): number {
		const best = this._running().sort((a, b) => b.core!.lastIndex - a.core!.lastIndex)[0];
		const members = best?.core?.members ?? [];
		return members.filter(
			member =>
				member.role === 'voter' &&
				this._nodes.some(node => node.id === member.id && node.disk.incarnation === member.incarnation)
		).length;
	}

	get size(): number {
		return this._nodes.length;
	}

	/** Highest index that any replica has applied as committed. */
	get committedCount(): number {
		return this._invariants.maxCommittedIndex;
	}

	/** Executes a step and checks the invariants. */
	step(step: ModelStep): void {
		if (step.type === 'deliver' || step.type === 'drop') {
			this._stepMessage(step);
		} else if (step.type === 'run') {
			this._run(step.ms);
		} else if (step.type === 'reconnect') {
			this._nodes.forEach(node => Object.assign(node, { dropsInbound: false, dropsOutbound: false }));
		} else {
			this._stepNode(step, this._nodes[step.node % this._nodes.length]!);
		}
		this._checkLeases();
	}

	/** Ends all faults and advances the time; returns whether a new command could be committed. */
	heal(): boolean {
		for (const node of this._nodes) {
			Object.assign(node, { frozenUntil: 0, crashesBeforeSync: false, dropsInbound: false, dropsOutbound: false });
			if (!node.core) {
				this._start(node);
			}
			this._repairDisk(node);
		}
		const committedBefore = this.committedCount;
		for (let round = 0; round < HEAL_ROUNDS; round++) {
			this._run(ROUND_MS);
			this._nodes.filter(node => node.core!.isBlank || !node.core!.isVoter).forEach(node => this._join(node));
		}
		const leader = this._running().find(node => node.core!.hasLease(this._now));
		if (leader) {
			this._propose(leader);
			for (let i = 0; i < 50; i++) {
				this.step({ type: 'deliver', message: 0, copy: false });
			}
		}
		return this.committedCount > committedBefore && leader !== undefined;
	}

	/** Runs rounds of ticks and deliveries; replies wait for the next round, so that a message loop cannot hang the test. */
	private _run(ms: number): void {
		for (let left = ms; left > 0; left -= ROUND_MS) {
			this._now += ROUND_MS;
			this._nodes.forEach(node => this._perform(node, core => core.tick(this._now)));
			this._messages.splice(0).forEach(message => this._deliver(message));
			this._checkLeases();
		}
	}

	private _stepMessage(step: Extract<ModelStep, { type: 'deliver' | 'drop' }>): void {
		if (this._messages.length === 0) {
			return;
		}
		const index = step.message % this._messages.length;
		const message = this._messages[index]!;
		if (step.type === 'drop' || !step.copy) {
			this._messages.splice(index, 1);
		}
		if (step.type === 'deliver') {
			this._deliver(message);
		}
	}

	private _stepNode(
		step: Exclude<ModelStep, { type: 'deliver' | 'drop' | 'run' | 'reconnect' }>,
		node: ModelNode
	): void {
		switch (step.type) {
			case 'tick':
				this._now += step.ms;
				this._perform(node, core => core.tick(this._now));
				return;
			case 'propose':
				this._propose(node);
				return;
			case 'crash':
				node.crashesBeforeSync = step.beforeSync;
				if (!step.beforeSync) {
					this._crash(node);
				}
				return;
			case 'restart':
				this._start(node);
				return;
			case 'loseDisk':
				node.disk.erase(`i${++this._incarnations}`);
				this._start(node);
				return;
			case 'freeze':
				node.frozenUntil = this._now + FREEZE_MS;
				return;
			case 'breakDisk':
				node.isDiskBroken = true;
				return;
			case 'repairDisk':
				this._repairDisk(node);
				return;
			case 'isolate':
				Object.assign(node, { dropsInbound: true, dropsOutbound: !step.oneWay });
				return;
			case 'compact':
				this._compact(node);
				return;
			case 'join':
				this._join(node);
				return;
		}
	}

	private _crash(node: ModelNode): void {
		node.crashedAt ??= this._now;
		node.core = undefined;
		node.unwritten = undefined;
	}

	private _start(node: ModelNode): void {
		const { disk } = node;
		node.crashesBeforeSync = false;
		node.unwritten = undefined;
		node.applied = disk.snapshot?.index ?? 0;
		const startedAt = node.crashedAt ?? this._now;
		node.crashedAt = undefined;
		node.core = new AgreementCore({
			identity: { id: node.id, incarnation: disk.incarnation, address: node.id },
			timing: TIMING,
			hardState: disk.hardState,
			log: { snapshot: disk.snapshot, entries: disk.entries, commit: disk.commit },
			random: () => this._random(),
			now: this._now,
			startedAt
		});
	}

	/** Deterministic random numbers, so that a schedule alone reproduces a run. */
	private _random(): number {
		this._randomState = (this._randomState * 48271) % 2147483647;
		return this._randomState / 2147483647;
	}

	private _running(): ModelNode[] {
		return this._nodes.filter(node => node.core !== undefined);
	}

	private _deliver(message: AgreementMessage): void {
		const node = this._nodes.find(item => item.id === message.to)!;
		const sender = this._nodes.find(item => item.id === message.from)!;
		if (node.dropsInbound || sender.dropsOutbound) {
			return;
		}
		this._perform(node, core => core.receive(message, this._now));
	}

	private _propose(node: ModelNode): void {
		const command = `p${++this._proposals}`;
		this._perform(node, core => core.propose([command], this._now)?.effects);
	}

	private _join(node: ModelNode): void {
		const identity = { id: node.id, incarnation: node.disk.incarnation, address: node.id };
		for (const other of this._running().filter(item => item !== node)) {
			this._perform(other, core => core.join(identity, core.memberListVersion, this._now));
		}
	}

	private _compact(node: ModelNode): void {
		const { core } = node;
		if (!core || this._isFrozen(node) || node.isDiskBroken || core.commitIndex <= core.snapshotIndex) {
			return;
		}
		const index = core.commitIndex;
		const snapshot = core.compact(index, new Uint8Array([index % 256]));
		Object.assign(node.disk, { snapshot, entries: core.entriesAfterSnapshot(), hardState: core.hardState });
	}

	private _isFrozen(node: ModelNode): boolean {
		return this._now < node.frozenUntil;
	}

	private _perform(node: ModelNode, act: (core: AgreementCore) => Effects | undefined): void {
		if (!node.core || this._isFrozen(node) || node.unwritten) {
			return;
		}
		const { core } = node;
		const effects = act(core);
		if (!effects) {
			return;
		}
		this._send(effects.earlyMessages);
		if (effects.records.length > 0 && node.crashesBeforeSync) {
			this._crash(node);
		} else if (effects.records.length > 0 && node.isDiskBroken) {
			node.unwritten = effects;
			core.suspend(this._now);
		} else {
			this._complete(node, core, effects);
		}
	}

	private _repairDisk(node: ModelNode): void {
		const { core, unwritten } = node;
		node.isDiskBroken = false;
		node.unwritten = undefined;
		if (core && unwritten) {
			this._complete(node, core, unwritten);
		}
	}

	/** Writes the records of effects, then sends and applies the rest. */
	private _complete(node: ModelNode, core: AgreementCore, effects: Effects): void {
		if (effects.records.length > 0) {
			effects.records.forEach(record => node.disk.write(record));
			node.disk.commit = core.commitIndex;
		}
		this._send(effects.messages);
		this._apply(node, effects);
		if (effects.records.length > 0) {
			this._perform(node, () => core.onPersisted(core.lastIndex, core.term, this._now));
		}
	}

	private _send(messages: readonly AgreementMessage[]): void {
		this._messages.push(...messages);
		this._messages.splice(0, this._messages.length - MAX_MESSAGES);
	}

	private _apply(node: ModelNode, effects: Effects): void {
		if (effects.restore) {
			node.applied = effects.restore.index;
		}
		for (const entry of effects.committed) {
			assert.equal(entry.index, node.applied + 1, `${node.id} applies in order`);
			node.applied = entry.index;
			this._invariants.checkCommitted(node.id, entry);
		}
		this._invariants.checkLeader(node.id, node.core);
	}

	private _checkLeases(): void {
		this._running().forEach(node => this._invariants.checkLease(node.id, node.core!, this._now));
	}
}
