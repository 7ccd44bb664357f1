"""Transport between instances: websockets that carry CBOR frames."""

from banyanbank_mesh._bounded_heads import BoundedHeadPool
from banyanbank_mesh._bounded_heads import HeadTooLongError
from banyanbank_mesh._bounded_heads import MAX_HEAD_BYTES
from banyanbank_mesh._bounded_heads import StaleConnectionError
from banyanbank_mesh._bounded_heads import TracedPool
from banyanbank_mesh._bounded_heads import UnansweredError
from banyanbank_mesh._errors import CallError
from banyanbank_mesh._errors import CallErrorKind
from banyanbank_mesh._errors import HandlerRefusalError
from banyanbank_mesh._errors import StreamClosedError
from banyanbank_mesh._frames import MAX_FRAME_BYTES
from banyanbank_mesh._ip_endpoints import ip_agent
from banyanbank_mesh._ip_endpoints import IpEndpointFactory
from banyanbank_mesh._ip_endpoints import NotAnAddressError
from banyanbank_mesh._ip_endpoints import read_body
from banyanbank_mesh._mesh import ListenError
from banyanbank_mesh._mesh import Mesh
from banyanbank_mesh._outbound import CallResult
from banyanbank_mesh._reactor import install_reactor
from banyanbank_mesh._reactor import SteadyReactor
from banyanbank_mesh._stream import ReadResult
from banyanbank_mesh._stream import Stream
from banyanbank_mesh._tls import MeshTls
from banyanbank_mesh._writer import StreamWriter

__all__ = [
    "MAX_FRAME_BYTES",
    "MAX_HEAD_BYTES",
    "BoundedHeadPool",
    "CallError",
    "CallErrorKind",
    "CallResult",
    "HandlerRefusalError",
    "HeadTooLongError",
    "IpEndpointFactory",
    "ListenError",
    "Mesh",
    "MeshTls",
    "NotAnAddressError",
    "ReadResult",
    "StaleConnectionError",
    "SteadyReactor",
    "Stream",
    "StreamClosedError",
    "StreamWriter",
    "TracedPool",
    "UnansweredError",
    "install_reactor",
    "ip_agent",
    "read_body",
]
