/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Sends configuration, directory and loads to the entry instances that have a session with this control instance. */

import { type Millis, systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { IPeerTransport, type ServerStream } from '../../../kernel/node/peerTransport.js';
import { IAgreement } from '../../agreement/common/agreement.js';
import { IEntryMembership } from '../../membership/common/entryMembership.js';
import {
	type Directory,
	type DirectoryDelta,
	diffDirectories,
	type RegionLoads
} from '../../membership/common/entryReport.js';
import type { Revision } from '../common/configuration.js';
import {
	revisionMethod,
	sessionMethod,
	type RevisionResponse,
	type SessionReport,
	type SessionUpdate
} from '../common/configurationSession.js';
import { IControlStateService } from '../common/controlStateService.js';

/** Updates are sent at every change, and at this interval as a heartbeat. */
const UPDATE_INTERVAL_MS = 300;
/** Minimum interval between updates of the loads. */
const LOADS_INTERVAL_MS = 500;

/** A session, with the data last sent to its entry instance. */
interface Session {
	readonly stream: ServerStream<SessionReport, SessionUpdate>;
	revision: Revision;
	directory?: Directory;
	region: string;
	loads?: RegionLoads;
	loadsSentAt: Millis;
	isOpen: boolean;
}

/** Serves the sessions of entry instances with this control instance. */
export class ConfigurationPublisher extends Disposable {
	private readonly _sessions = new Set<Session>();
	private _cachedDirectoryDelta?: {
		readonly before: Directory;
		readonly after: Directory;
		readonly delta: DirectoryDelta;
	};

	constructor(
		@IPeerTransport transport: IPeerTransport,
		@IAgreement private readonly _agreement: IAgreement,
		@IControlStateService private readonly _control: IControlStateService,
		@IEntryMembership private readonly _membership: IEntryMembership
	) {
		super();
		transport.handleStream(sessionMethod, stream => this._onSession(stream));
		transport.handleUnary(revisionMethod, async () => this._revision());
		this._register(this._control.state.onDidChange(() => this._sendUpdateToAll()));
		this._register(this._membership.onDidChangeDirectory(() => this._sendUpdateToAll()));
		const timer = setInterval(() => this._sendUpdateToAll(), UPDATE_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	private _revision(): RevisionResponse {
		return { revision: this._control.state.configuration.revision, isAuthoritative: this._agreement.hasLease() };
	}

	private _onSession(stream: ServerStream<SessionReport, SessionUpdate>): void {
		const session: Session = { stream, revision: 0, region: '', loadsSentAt: 0, isOpen: false };
		this._sessions.add(session);
		stream.on('data', (message: SessionReport) => {
			this._membership.addReport(message.report);
			if (!session.isOpen) {
				session.isOpen = true;
				session.revision = message.revision;
				session.region = message.report.identity.region;
				this._sendUpdate(session);
			}
		});
		const close = (): void => {
			this._sessions.delete(session);
		};
		stream.on('end', () => {
			close();
			stream.end();
		});
		stream.on('close', close);
		stream.on('error', close);
		stream.on('cancelled', close);
	}

	private _sendUpdateToAll(): void {
		this._sessions.forEach(session => session.isOpen && this._sendUpdate(session));
	}

	private _sendUpdate(session: Session): void {
		if (session.stream.writableNeedDrain) {
			return;
		}
		const { revision } = this._control.state.configuration;
		const directory = this._membership.directory;
		session.stream.write({
			leaderContactAgeMs: Math.min(this._membership.leaderContactAge(), Number.MAX_SAFE_INTEGER),
			revision,
			...this._configurationUpdate(session.revision),
			...this._directoryUpdate(session, directory),
			loads: this._loadsUpdate(session)
		});
		session.revision = Math.max(session.revision, revision);
		session.directory = directory;
	}

	private _directoryUpdate(session: Session, directory: Directory | undefined): Partial<SessionUpdate> {
		if (!directory || directory === session.directory) {
			return {};
		}
		return session.directory ? { directoryDelta: this._directoryDelta(session.directory, directory) } : { directory };
	}

	/** Computes the delta of two directories; the last one is cached, as most sessions are at the same version. */
	private _directoryDelta(before: Directory, after: Directory): DirectoryDelta {
		if (this._cachedDirectoryDelta?.before !== before || this._cachedDirectoryDelta.after !== after) {
			this._cachedDirectoryDelta = { before, after, delta: diffDirectories(before, after) };
		}
		return this._cachedDirectoryDelta.delta;
	}

	private _loadsUpdate(session: Session): RegionLoads | undefined {
		const now = systemClock.now();
		const loads = this._membership.loads.find(item => item.region === session.region);
		if (!loads || loads === session.loads || now - session.loadsSentAt < LOADS_INTERVAL_MS) {
			return undefined;
		}
		session.loads = loads;
		session.loadsSentAt = now;
		return loads;
	}

	private _configurationUpdate(sentRevision: Revision): Partial<SessionUpdate> {
		const { state } = this._control;
		if (sentRevision >= state.configuration.revision) {
			return {};
		}
		const deltas = sentRevision === 0 ? undefined : state.deltasAfter(sentRevision);
		return deltas ? { deltas } : { snapshot: state.configuration.snapshot() };
	}
}
