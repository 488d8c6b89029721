/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The task that runs a replica: it does the I/O and timing for the protocol logic in `AgreementCore`. */

import { Disposable, toDisposable } from '../../../base/disposable.js';
import { Emitter } from '../../../base/event.js';
import { Mailbox } from '../../../base/mailbox.js';
import { PROCESS_STARTED_AT, systemClock } from '../../../base/clock.js';
import { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IMetricsService } from '../../../kernel/node/metricsService.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IAgreement, NotLeaderError, type ReplicaStatus } from '../common/agreement.js';
import { AgreementCore, type ReplicaIdentity } from '../common/agreementCore.js';
import {
	type AgreementMessage,
	type Effects,
	EntryKind,
	type LogEntry,
	type LogIndex,
	type MemberId,
	ReplicaRole
} from '../common/agreementTypes.js';
import { createBootstrapState, INITIAL_INCARNATION } from '../common/bootstrapState.js';
import {
	type IReplicatedPart,
	type PartCommand,
	ReplicatedState,
	UnknownPartError
} from '../common/replicatedState.js';
import type { AgreementSettings } from './agreementSettings.js';
import { AppendedProposals, type Proposal } from './appendedProposals.js';
import { FailureBackoff } from './failureBackoff.js';
import { deliverMethod, helloMethod } from './agreementWire.js';
import { LogStore, StoreCondition } from './logStore.js';
import { LogCompactor } from './logCompactor.js';
import { LogWriter } from './logWriter.js';
import { MemberDiscovery } from './memberDiscovery.js';
import { PeerSenders } from './peerSenders.js';
import { ReplicaPlace } from './replicaPlace.js';
import { statusBeforeOpen, statusOf } from './replicaStatus.js';
import { ReplicationMonitor } from './replicationMonitor.js';
import { assertStorable } from './storableCommand.js';
import { SuspensionGuard } from './suspensionGuard.js';
import type { TaskMessage } from './taskMessage.js';

const TICK_MS = 20;
const EXIT_FAILED = 1;

/** The replicated log of this control instance. */
export class AgreementTask extends Disposable implements IAgreement {
	private readonly _onDidChangeLeadership = this._register(new Emitter<boolean>());
	readonly onDidChangeLeadership = this._onDidChangeLeadership.event;

	private readonly _state = new ReplicatedState();
	private readonly _settings: AgreementSettings;
	private readonly _place: ReplicaPlace;
	private readonly _senders: PeerSenders;
	private readonly _replicationMonitor: ReplicationMonitor;
	private readonly _appendedProposals = new AppendedProposals();
	private readonly _mailbox = this._register(
		new Mailbox<TaskMessage>(
			batch => this._handleBatch(batch),
			error => this._failReplica(error)
		)
	);
	private readonly _writer: LogWriter;
	private readonly _compactor: LogCompactor;
	/** Undefined until the log is open; other parts may query this task before. */
	private _core!: AgreementCore;
	private _identity!: ReplicaIdentity;
	private _wasLeader = false;
	/** Whether an invariant was violated, after which this replica must not handle or answer anything. */
	private _hasFailed = false;
	private readonly _failureBackoff: FailureBackoff;
	private readonly _suspensionGuard: SuspensionGuard;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IPeerCalls private readonly _peerCalls: IPeerCalls,
		@ILogService private readonly _log: ILogService,
		@IMetricsService metrics: IMetricsService
	) {
		super();
		this._suspensionGuard = new SuspensionGuard(this._log);
		this._replicationMonitor = new ReplicationMonitor(metrics, this._log);
		this._senders = new PeerSenders(this._peerCalls, id => this._place.addressOf(id, this._core.members));
		this._place = new ReplicaPlace(settings);
		this._settings = settings.section<AgreementSettings>('agreement');
		const store = new LogStore(this._settings.dataFolder);
		this._writer = this._register(new LogWriter(store, this._log, metrics));
		this._compactor = new LogCompactor(this._state, store, this._settings.snapshotEveryEntries, this._log);
		this._failureBackoff = new FailureBackoff(this._settings.dataFolder, this._log);
		this._register(this._writer.onDidChangeAvailability(isAvailable => !isAvailable && this._suspend()));
		this._peerCalls.handleUnary(deliverMethod, async request => {
			for (const message of request.messages) {
				this._post({ type: 'received', message });
			}
			return { received: true as const };
		});
		this._peerCalls.handleUnary(helloMethod, async request => {
			if (request.asksToJoin) {
				this._post({ type: 'join', identity: request.identity, memberList: request.memberList });
			}
			const { isBlank, members, memberListVersion: memberList } = this._core;
			return { identity: this._identity, isBlank, memberAddresses: members.map(({ address }) => address), memberList };
		});
	}

	addPart(part: IReplicatedPart): void {
		this._state.addPart(part);
	}

	async start(): Promise<void> {
		await this._openLogOrDelayEnd();
		await this._peerCalls.listen();
		const timer = setInterval(() => this._post({ type: 'tick' }), TICK_MS);
		this._register(toDisposable(() => clearInterval(timer)));
		const discovery = new MemberDiscovery(this._peerCalls, this._core, this._identity);
		if (this._place.hasDiscoveredMembers) {
			void discovery.maintainMembership(() => this._place.seeds);
		} else if (this._core.isBlank) {
			void discovery.joinOrBootstrap(this._place.otherPeers, () => this._post({ type: 'bootstrap' }));
		}
	}

	async propose<T>(command: PartCommand): Promise<T> {
		assertStorable(command);
		return new Promise<T>((resolve, reject) => {
			const proposal: Proposal = { command, resolve: result => resolve(result as T), reject };
			this._post({ type: 'propose', proposal });
		});
	}

	hasLease(): boolean {
		return this._core?.hasLease(systemClock.now(), this._suspensionGuard.contactValidFrom()) ?? false;
	}

	uncommittedCommands(part: string): readonly unknown[] {
		return (this._core?.uncommittedEntries() ?? [])
			.filter(({ kind }) => kind === EntryKind.Command)
			.map(({ command }) => command as PartCommand)
			.filter(command => command.part === part)
			.map(({ body }) => body);
	}

	contactAgeMs(): number {
		return this._core?.contactAge(systemClock.now()) ?? Number.POSITIVE_INFINITY;
	}

	removeMember(id: MemberId, admittedAt: LogIndex): Promise<boolean> {
		return new Promise(resolve => this._post({ type: 'remove', id, admittedAt, resolve }));
	}

	status(): ReplicaStatus {
		return this._core ? statusOf(this._identity, this._core) : statusBeforeOpen(this._place.id);
	}

	/** Opens the log; a log that cannot be applied ends the start, later each time. */
	private async _openLogOrDelayEnd(): Promise<void> {
		try {
			await this._openLog();
		} catch (error) {
			this._log.error('log cannot be opened', { task: 'agreement', error: (error as Error).stack });
			await this._failureBackoff.waitBeforeEnd();
			throw error;
		}
	}

	private async _openLog(): Promise<void> {
		const { isSeedAtFirstStart, seeds, hasDiscoveredMembers } = this._place;
		let opened = await this._writer.open(isSeedAtFirstStart ? INITIAL_INCARNATION : undefined);
		if (isSeedAtFirstStart && opened.condition === StoreCondition.Blank) {
			const bootstrapState = createBootstrapState(seeds);
			await this._writer.append([bootstrapState]);
			opened = { ...opened, hardState: bootstrapState.hardState, log: { entries: bootstrapState.entries } };
		}
		this._identity = this._place.identity(opened.incarnation);
		this._log.info('log opened', { task: 'agreement', condition: opened.condition, term: opened.hardState.term });
		this._core = new AgreementCore({
			identity: this._identity,
			timing: this._settings,
			hardState: opened.hardState,
			log: opened.log,
			random: Math.random,
			now: systemClock.now(),
			startedAt: PROCESS_STARTED_AT,
			hasDiscoveredMembers
		});
		if (opened.log.snapshot) {
			this._state.restore(opened.log.snapshot.data);
		}
	}

	/** Passes a message on for handling; while the disk takes no writes or after a failure, it is dropped or rejected at once. */
	private _post(message: TaskMessage): void {
		if (this._writer.isAvailable && !this._hasFailed) {
			this._mailbox.post(message);
		} else {
			this._reject(message);
		}
	}

	/** Other replicas send their messages again, so only callers of this task need a response. */
	private _reject(message: TaskMessage): void {
		if (message.type === 'propose') {
			message.proposal.reject(new NotLeaderError(undefined));
		} else if (message.type === 'remove') {
			message.resolve(false);
		}
	}

	/** Stops voting, leading and acknowledging; what was written before the disk failed stays in force. */
	private _suspend(): void {
		this._mailbox.takePending().forEach(message => this._reject(message));
		if (this._core) {
			this._core.suspend(systemClock.now());
			this._appendedProposals.rejectAll();
			this._updateLeadership();
		}
	}

	private async _handleBatch(batch: TaskMessage[]): Promise<void> {
		const proposals: Proposal[] = [];
		const allEffects: Effects[] = [];
		for (const message of batch) {
			if (message.type === 'propose') {
				proposals.push(message.proposal);
			} else {
				allEffects.push(this._handleMessage(message));
			}
		}
		if (proposals.length > 0) {
			allEffects.push(...this._appendProposals(proposals));
		}
		await this._performEffects(allEffects);
		this._updateLeadership();
		await this._compactor.compactIfDue(this._core);
	}

	private _handleMessage(message: Exclude<TaskMessage, { type: 'propose' }>): Effects {
		const now = systemClock.now();
		switch (message.type) {
			case 'tick':
				return this._core.tick(now);
			case 'received':
				this._replicationMonitor.recordReceived(message.message);
				return this._core.receive(message.message, now);
			case 'join':
				return this._core.join(message.identity, message.memberList, now);
			case 'bootstrap':
				return this._core.bootstrap(now);
			case 'remove': {
				const removal = this._core.removeMember(message.id, message.admittedAt, now);
				message.resolve(removal.done);
				return removal.effects;
			}
		}
	}

	private _appendProposals(proposals: readonly Proposal[]): Effects[] {
		const appended = this._core.propose(
			proposals.map(proposal => proposal.command),
			systemClock.now()
		);
		if (!appended) {
			const error = new NotLeaderError(this._core.leader);
			proposals.forEach(proposal => proposal.reject(error));
			return [];
		}
		this._appendedProposals.add(proposals, appended.first, this._core.term);
		return [appended.effects];
	}

	/** Sends early messages, writes and syncs all records at once, sends the other messages, then applies committed entries. */
	private async _performEffects(allEffects: readonly Effects[]): Promise<void> {
		allEffects.forEach(effects => effects.earlyMessages.forEach(message => this._send(message)));
		const records = allEffects.flatMap(effects => effects.records);
		const lastAppended = { index: this._core.lastIndex, term: this._core.term };
		if (records.length > 0) {
			await this._writer.append([...records, { commit: this._core.commitIndex }]);
		}
		allEffects.forEach(effects => effects.messages.forEach(message => this._send(message)));
		allEffects.forEach(effects => this._apply(effects));
		if (records.length > 0) {
			const after = this._core.onPersisted(lastAppended.index, lastAppended.term, systemClock.now());
			await this._performEffects([after]);
		}
	}

	private _send(message: AgreementMessage): void {
		this._replicationMonitor.recordSent(message);
		this._senders.send(message);
	}

	private _apply(effects: Effects): void {
		if (effects.restore) {
			this._state.restore(effects.restore.data);
			this._appendedProposals.rejectAll();
		}
		effects.committed.forEach(entry => this._applyEntry(entry));
	}

	/** Applies an entry; one that its part cannot apply is passed over, as all replicas have the same error at the same index. */
	private _applyEntry(entry: LogEntry): void {
		if (entry.kind !== EntryKind.Command) {
			this._appendedProposals.settle(entry, undefined);
			return;
		}
		try {
			this._appendedProposals.settle(entry, this._state.apply(entry.command as PartCommand, entry.index));
		} catch (error) {
			if (error instanceof UnknownPartError) {
				throw error;
			}
			const { stack } = error as Error;
			this._log.error('entry cannot be applied', { task: 'agreement', index: entry.index, error: stack });
			this._appendedProposals.reject(entry, error as Error);
		}
	}

	private _updateLeadership(): void {
		const isLeader = this._core.role === ReplicaRole.Leader;
		if (isLeader === this._wasLeader) {
			return;
		}
		this._wasLeader = isLeader;
		this._log.info(isLeader ? 'became leader' : 'lost leadership', { task: 'agreement', term: this._core.term });
		if (!isLeader) {
			this._appendedProposals.rejectAll();
		}
		this._onDidChangeLeadership.fire(isLeader);
	}

	/** Ends the process after a violated invariant, at once for the first time; until then this replica answers nothing. */
	private _failReplica(error: Error): void {
		if (this._hasFailed) {
			return;
		}
		this._hasFailed = true;
		this._log.error('replica failed', { task: 'agreement', error: error.stack });
		this._suspend();
		process.exitCode = EXIT_FAILED;
		void this._failureBackoff.waitBeforeEnd().then(() => process.kill(process.pid, 'SIGTERM'));
	}
}
